import {leadParametersSchema} from '#protocol';
import {supervisorPlugins} from '../plugins.js';
import {entriesService} from './entries.js';
import {supervisionService} from './supervision.js';

supervisorPlugins.register({
	kind: 'rpc-method',
	name: 'worker.lead',
	parametersSchema: leadParametersSchema,
	async handle(parameters, {services}, peer) {
		const {epoch} = parameters as Readonly<{epoch: number}>;
		if (epoch >= services.use(supervisionService).read().epoch) {
			services.use(entriesService).follow(peer, epoch);
		}

		return {};
	},
});
