import {JSONRPCErrorException} from 'json-rpc-2.0';
import {announceParametersSchema, type AnnounceParameters} from '#protocol';
import {listZoneEntries} from '../entries.js';
import {entryPlugins} from '../plugins.js';
import {connectionsService} from './connections.js';
import {entriesService} from './entries.js';
import {layoutService} from './layout-task.js';
import {membershipService} from './membership.js';

const replacedIncarnationCode = -32_002;

entryPlugins.register({
	kind: 'rpc-method',
	name: 'agent.announce',
	parametersSchema: announceParametersSchema,
	async handle(parameters, {settings, services, log}, peer) {
		const membership = services.use(membershipService);
		const connections = services.use(connectionsService);
		const {worker, incarnation, rack, capacity, load, holdings, leaving, configurationRevision, layoutRevision} = parameters as AnnounceParameters;
		membership.send({
			kind: 'announced',
			agent: {
				worker, incarnation, rack, capacity, load, holdings, isLeaving: leaving, configurationRevision, layoutRevision,
			},
		});
		// Calls to the present incarnation must not reach the process of an earlier one.
		if (membership.read().agents.get(worker)?.incarnation !== incarnation) {
			throw new JSONRPCErrorException('another incarnation of the agent has replaced this one', replacedIncarnationCode);
		}

		connections.send({kind: 'opened', worker, peer});
		peer.onClosed(reason => {
			log.withPrefix('membership').info({worker, reason}, 'agent disconnected');
			// An agent that has reconnected stays connected when its former connection closes.
			const isCurrent = connections.read().peers.get(worker) === peer;
			connections.send({kind: 'closed', worker, peer});
			if (isCurrent) {
				membership.send({kind: 'disconnected', worker, incarnation});
			}
		});
		const slice = services.use(layoutService).chooseSlice(worker, {configurationRevision, layoutRevision});
		return {entry: settings.entry, entries: listZoneEntries(services.use(entriesService).read()), ...(slice === undefined ? {} : {slice})};
	},
});
