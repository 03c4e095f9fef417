/** Starts the stand-ins and programs of the demonstration as separate processes in two regions and three availability zones. */
import {startDaemon, waitFor, type Daemon} from '#test/support/processes';
import {createHttpClient} from '#transport';

export type FleetWorker = Readonly<{
	name: string;
	zone: string;
	origin: string;
	worker: Daemon;
	agent: Daemon;
	/** Settings for starting a replacement agent. */
	agentSettings: Readonly<Record<string, string | number>>;
}>;

export type FleetEntry = Readonly<{name: string; zone: string; origin: string; daemon: Daemon}>;

export type Fleet = Readonly<{
	store: Daemon;
	storeOrigin: string;
	entries: readonly FleetEntry[];
	workers: readonly FleetWorker[];
	daemons: readonly Daemon[];
}>;

export type ZoneSize = Readonly<{region: string; zone: string; entries: number; workers: number}>;

/** Two regions with three availability zones, as on the users' platform. */
export const demoZones: readonly ZoneSize[] = [
	{
		region: 'north', zone: 'north-a', entries: 2, workers: 3,
	},
	{
		region: 'north', zone: 'north-b', entries: 1, workers: 3,
	},
	{
		region: 'south', zone: 'south-a', entries: 1, workers: 3,
	},
];

export const acceleratorsPerWorker = 8;
const callTimeoutMilliseconds = 2000;

/** Starts the stand-in for the platform's key-value service. */
export async function startFleetStore(): Promise<Readonly<{store: Daemon; storeOrigin: string}>> {
	const store = await startDaemon('stand-in-store', {'listen-port': 0});
	return {store, storeOrigin: `http://127.0.0.1:${store.ports['http']}`};
}

/** Starts every entry, worker and agent. */
export async function startFleet({store, storeOrigin}: Readonly<{store: Daemon; storeOrigin: string}>, zones: readonly ZoneSize[]): Promise<Fleet> {
	const parts = await Promise.all(zones.map(async zone => startZone(zone, storeOrigin)));
	const entries = parts.flatMap(part => part.entries);
	const workers = parts.flatMap(part => part.workers);
	return {
		store,
		storeOrigin,
		entries,
		workers,
		daemons: [store, ...entries.map(({daemon}) => daemon), ...workers.flatMap(({worker, agent}) => [worker, agent])],
	};
}

async function startZone(plan: ZoneSize, storeOrigin: string): Promise<Readonly<{entries: readonly FleetEntry[]; workers: readonly FleetWorker[]}>> {
	const {region, zone} = plan;
	const entries = await Promise.all(Array.from({length: plan.entries}, async (_, index): Promise<FleetEntry> => {
		const name = `entry-${zone}-${index + 1}`;
		const daemon = await startDaemon('dotterelnotch-entry', {
			entry: name, region, zone, 'store-origin': storeOrigin, 'listen-port': 0, 'peer-port': 0, seed: index + 1, 'log-level': 'error',
		});
		return {
			name, zone, origin: `http://127.0.0.1:${daemon.ports['http']}`, daemon,
		};
	}));
	const seeds = entries.map(({daemon}) => `127.0.0.1:${daemon.ports['peers']}`).join(',');
	const workers = await Promise.all(Array.from({length: plan.workers}, async (_, index): Promise<FleetWorker> => {
		const name = `worker-${zone}-${index + 1}`;
		const worker = await startDaemon('stand-in-worker', {'listen-port': 0});
		const origin = `http://127.0.0.1:${worker.ports['http']}`;
		const agentSettings = {
			worker: name, region, zone, rack: `rack-${zone}-1`, 'worker-origin': origin, entries: seeds, accelerators: acceleratorsPerWorker, 'log-level': 'error',
		};
		return {
			name, zone, origin, worker, agent: await startDaemon('dotterelnotch-agent', agentSettings), agentSettings,
		};
	}));
	return {entries, workers};
}

/** Waits until every entry has registered all agents of its zone and they have the configuration. */
export async function waitUntilReady({entries, workers}: Fleet): Promise<void> {
	await Promise.all(entries.map(async ({origin, name, zone}) => {
		const client = createHttpClient(origin, 1);
		const expected = workers.filter(worker => worker.zone === zone).length;
		await waitFor(`entry ${name}`, async () => {
			const reply = await client.send('GET', '/v1/fleet', {timeout: callTimeoutMilliseconds});
			const agents = reply.kind === 'answered' ? (reply.body as Readonly<{agents?: ReadonlyArray<Readonly<{configurationRevision: number}>>}>).agents ?? [] : [];
			const isReady = agents.length === expected && agents.every(({configurationRevision}) => configurationRevision > 0);
			return isReady ? true : undefined;
		});
		await client.close();
	}));
}
