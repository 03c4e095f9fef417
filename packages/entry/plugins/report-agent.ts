import {reportParametersSchema, type ReportParameters} from '#protocol';
import {listZoneEntries} from '../entries.js';
import {entryPlugins} from '../plugins.js';
import {connectionsService} from './connections.js';
import {entriesService} from './entries.js';
import {layoutService} from './layout-task.js';
import {membershipService} from './membership.js';
import {routingService} from './routing.js';

entryPlugins.register({
	kind: 'rpc-method',
	name: 'agent.report',
	parametersSchema: reportParametersSchema,
	async handle(parameters, {services}, peer) {
		const membership = services.use(membershipService);
		const connections = services.use(connectionsService);
		const {load, holdings, configurationRevision, layoutRevision} = parameters as ReportParameters;
		for (const [worker, connected] of connections.read().peers) {
			const agent = membership.read().agents.get(worker);
			if (connected === peer && agent !== undefined) {
				membership.send({
					kind: 'reported', worker, incarnation: agent.incarnation, load, holdings, configurationRevision, layoutRevision,
				});
				services.use(routingService).send({
					kind: 'reported', worker, load: {short: load.shortQueued + load.shortRunning, long: load.longQueued + load.longRunning},
				});
				const slice = services.use(layoutService).chooseSlice(worker, {configurationRevision, layoutRevision});
				return {entries: listZoneEntries(services.use(entriesService).read()), ...(slice === undefined ? {} : {slice})};
			}
		}

		return {};
	},
});
