import {entryPlugins} from '../plugins.js';
import {entriesService} from './entries.js';
import {layoutService} from './layout-task.js';
import {membershipService} from './membership.js';
import {configurationService, configurationWatchService} from './watch-configuration.js';

entryPlugins.register({
	kind: 'http-route',
	name: 'show-fleet',
	summary: 'Agents, peers and the revisions in force',
	method: 'GET',
	path: '/v1/fleet',
	async handle(_request, {services, settings}) {
		const {records, links} = services.use(entriesService).read();
		const agents = [...services.use(membershipService).read().agents.values()];
		return {
			kind: 'json', status: 200, body: {
				entry: settings.entry,
				region: settings.region,
				zone: settings.zone,
				configurationRevision: services.use(configurationService).read().current?.revision ?? 0,
				layoutRevision: services.use(layoutService).read()?.revision ?? 0,
				isStoreAvailable: services.use(configurationWatchService).isSynchronized(),
				agentsByConfigurationRevision: countBy(agents.map(agent => agent.configurationRevision)),
				agentsByLayoutRevision: countBy(agents.map(agent => agent.layoutRevision)),
				agents: agents.map(({
					worker, incarnation, rack, capacity, load, holdings, isLeaving, configurationRevision, layoutRevision,
				}) => ({
					worker, incarnation, rack, isLeaving, configurationRevision, layoutRevision, capacity, load, holdings: holdings.length,
				})),
				peers: [...records.values()].map(record => {
					const link = links.get(record.entry);
					return {
						...record, isConnected: link?.peer.isOpen() === true, configurationRevision: link?.configurationRevision ?? 0, summary: link?.summary,
					};
				}),
			},
		};
	},
});

function countBy(revisions: readonly number[]): Readonly<Record<string, number>> {
	const counts: Record<string, number> = {};
	for (const revision of revisions) {
		counts[revision] = (counts[revision] ?? 0) + 1;
	}

	return counts;
}
