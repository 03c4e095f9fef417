import {schedulerAnnouncementSchema, type SchedulerReference} from '#protocol';
import {supervisorPlugins} from '../plugins.js';
import {entriesService} from './entries.js';
import {supervisionService} from './supervision.js';

supervisorPlugins.register({
	kind: 'rpc-method',
	name: 'worker.lead',
	parametersSchema: schedulerAnnouncementSchema,
	async handle(parameters, {services}) {
		const scheduler = parameters as SchedulerReference;
		if (scheduler.epoch >= services.use(supervisionService).read().epoch) {
			services.use(entriesService).followScheduler(scheduler);
		}

		return {};
	},
});
