import {stopTasksParametersSchema} from '#protocol';
import type {StopOrder} from '#scheduling';
import {supervisorPlugins} from '../plugins.js';
import {stopRuns} from '../stop-runs.js';
import {supervisionService} from './supervision.js';

type StopParameters = Readonly<{epoch: number; incarnation: string; orders: readonly StopOrder[]}>;

supervisorPlugins.register({
	kind: 'rpc-method',
	name: 'worker.stop',
	parametersSchema: stopTasksParametersSchema,
	async handle(parameters, context) {
		const {epoch, incarnation, orders} = parameters as StopParameters;
		const supervision = context.services.use(supervisionService);
		const {worker, epoch: knownEpoch} = supervision.read();
		if (epoch < knownEpoch || worker?.announcement.incarnation !== incarnation) {
			return {confirmed: [], epoch: knownEpoch};
		}

		const confirmed = await stopRuns({worker, orders, epoch}, supervision, context);
		return {confirmed, epoch: supervision.read().epoch};
	},
});
