import {countPendingParametersSchema} from '#protocol';
import {countPending} from '#scheduling';
import {coordinatorPlugins} from '../plugins.js';
import {schedulerService} from './scheduler.js';

coordinatorPlugins.register({
	kind: 'rpc-method',
	name: 'entry.count-pending',
	parametersSchema: countPendingParametersSchema,
	async handle(parameters, {services}) {
		const {queue} = parameters as Readonly<{queue: string}>;
		const state = services.use(schedulerService).read();
		return state?.isLoaded === true ? {kind: 'counted', count: countPending(state).get(queue) ?? 0} : {kind: 'not-scheduler'};
	},
});
