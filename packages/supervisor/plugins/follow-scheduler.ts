import {leadParametersSchema, type SchedulerPlace} from '#protocol';
import {supervisorPlugins} from '../plugins.js';
import {entriesService} from './entries.js';
import {supervisionService} from './supervision.js';

supervisorPlugins.register({
	kind: 'rpc-method',
	name: 'worker.lead',
	parametersSchema: leadParametersSchema,
	async handle(parameters, {services}) {
		const scheduler = parameters as SchedulerPlace;
		if (scheduler.epoch >= services.use(supervisionService).read().epoch) {
			services.use(entriesService).followScheduler(scheduler);
		}

		return {};
	},
});
