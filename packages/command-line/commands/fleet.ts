import {exitCodeDone} from '../constants.js';
import {UnavailableError} from '../errors.js';
import {readFleetView, type FleetAgent, type FleetView} from '../fleet.js';
import {commandPlugins} from '../plugins.js';
import {formatTable} from '../table.js';

commandPlugins.register({
	kind: 'command',
	name: 'fleet',
	description: 'Show the entries that an entry knows, and the agents of their zones',
	options: [{flag: '--agents', description: 'List each agent', default: false}],
	async perform(_commandArguments, options, context) {
		const origin = context.useEntryOrigin();
		const own = await readFleetView(origin);
		if (own === undefined) {
			throw new UnavailableError(`entry ${origin}`, 'it did not return a valid view of the fleet');
		}

		const others = await Promise.all(own.peers.map(async ({callerAddress}) => readFleetView(`http://${callerAddress}`)));
		const views = [own, ...others.filter(view => view !== undefined)];
		if (context.isJson) {
			context.print(JSON.stringify({views}));
			return exitCodeDone;
		}

		const answered = new Set(views.map(({entry}) => entry));
		context.print(formatEntries(views));
		for (const {entry, zone} of own.peers.filter(peer => !answered.has(peer.entry))) {
			context.print(`${entry} of ${zone} does not answer`);
		}

		if (options['agents'] === true) {
			context.print(`\n${formatAgents(views)}`);
		}

		return exitCodeDone;
	},
});

function formatEntries(views: readonly FleetView[]): string {
	return formatTable(['entry', 'region', 'zone', 'revision', 'store', 'peers', 'agents', 'agents by revision'], views.map(view => [
		view.entry,
		view.region,
		view.zone,
		view.configurationRevision,
		view.isStoreAvailable ? 'available' : 'down',
		`${view.peers.filter(({isConnected}) => isConnected).length} of ${view.peers.length}`,
		view.agents.length,
		countByRevision(view.agents),
	]));
}

function countByRevision(agents: readonly FleetAgent[]): string {
	const counts = new Map<number, number>();
	for (const {configurationRevision} of agents) {
		counts.set(configurationRevision, (counts.get(configurationRevision) ?? 0) + 1);
	}

	return [...counts].toSorted(([first], [second]) => second - first).map(([revision, count]) => `${revision}: ${count}`).join(', ');
}

/** Lists each agent once, although it reports to every entry of its zone. */
function formatAgents(views: readonly FleetView[]): string {
	const agents = new Map(views.flatMap(view => view.agents.map(agent => [agent.worker, {zone: view.zone, agent}] as const)));
	return formatTable(
		['worker', 'zone', 'rack', 'state', 'revision', 'layout', 'slots', 'running', 'queued', 'accelerators', 'gangs'],
		[...agents.values()].map(({
			zone, agent: {
				worker, rack, isLeaving, configurationRevision, layoutRevision, capacity, load, holdings,
			},
		}) => [
			worker,
			zone,
			rack,
			isLeaving ? 'leaving' : 'present',
			configurationRevision,
			layoutRevision,
			capacity.slots,
			load.shortRunning + load.longRunning,
			load.shortQueued + load.longQueued,
			capacity.accelerators,
			holdings,
		]),
	);
}
