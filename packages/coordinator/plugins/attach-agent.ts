import {attachParametersSchema} from '#protocol';
import {coordinatorPlugins} from '../plugins.js';
import {findScheduler, listEntryAddresses} from '../addresses.js';
import {agentsService, createReplacedConnectionError} from './agents.js';
import {holdsLeadership, leadershipService} from './leadership.js';

coordinatorPlugins.register({
	kind: 'rpc-method',
	name: 'worker.attach',
	parametersSchema: attachParametersSchema,
	async handle(parameters, context, peer) {
		const {agent, process} = parameters as Readonly<{agent: string; process: string}>;
		if (!context.services.use(agentsService).attach(agent, peer, process)) {
			throw createReplacedConnectionError();
		}

		const {highestEpoch} = context.services.use(leadershipService).read();
		return {
			entry: context.settings.entry, entries: listEntryAddresses(context), epoch: highestEpoch, isScheduler: holdsLeadership(context), scheduler: findScheduler(context),
		};
	},
});
