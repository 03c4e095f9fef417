/** Entries, agents, workers and the store of a platform as separate processes and listeners on loopback. */
import {loopbackHost} from '../loopback.js';
import {killAll, waitFor, type Daemon} from '../processes.js';
import {startSilentProxy, type SilentProxy} from '../silent-proxy.js';
import {
	callFront, describeManifest, manifestKey, type CallMethod, type FrontAnswer,
} from './caller.js';
import {addressesOf, startPlatformAgent, startPlatformEntry} from './programs.js';
import {servePlatformStore, type PlatformStore} from './store.js';
import {servePlatformWorker, type PlatformWorker, type PlatformWorkerOptions} from './worker.js';

export type PlatformEntry = Readonly<{name: string; front: string; readiness: string; daemon: Daemon; storeLink: SilentProxy}>;

export type Deployment = Readonly<{
	store: PlatformStore;
	entries: readonly PlatformEntry[];
	agents: readonly Daemon[];
	workers: readonly PlatformWorker[];
	/** Kills an agent and starts it again at once. */
	restartAgent(agent: number): Promise<void>;
	/** Announces a worker to an agent, as another writer may; returns the status. */
	announce(agent: number, identifier: string, text: string): Promise<number>;
	/** Sends a caller's request; undefined if no answer came. */
	call(entry: number, method: CallMethod, path: string, body?: unknown): Promise<FrontAnswer | undefined>;
	stop(): Promise<void>;
}>;

/** What a crash of its workers looks like. */
type CrashOptions = Pick<PlatformWorkerOptions, 'crashesOn' | 'crashDelayMilliseconds' | 'answersBeforeCrash' | 'restart'>;

export type DeploymentOptions = Readonly<{entries: number; workers: number; workMilliseconds: number; failingWorkers?: number; configuration?: unknown; zoneOf?: (worker: number) => string}> & CrashOptions;

/** Two queues: `/urgent/` of priority 0 and `/batch/` of priority 2. */
export const defaultManifest = describeManifest(3, [
	{
		name: 'urgent', priority: 0, attempts: 3, stretch: 1.5, targetMilliseconds: 600,
	},
	{
		name: 'batch', priority: 2, attempts: 2, stretch: 3, targetMilliseconds: 3000,
	},
]);

/** Each deployment takes its own ports, so that one may start without waiting for the sockets of the last. */
let nextPort = 21_000;

async function readMetrics(address: string): Promise<string> {
	const response = await fetch(`http://${address}/metrics`);
	return response.text();
}

export async function startDeployment({entries, workers, workMilliseconds, failingWorkers = 0, configuration = defaultManifest, zoneOf = () => 'z', ...crashOptions}: DeploymentOptions): Promise<Deployment> {
	const store = await servePlatformStore();
	const base = nextPort;
	nextPort += 20;
	const seeds = `${loopbackHost(0)}:1`;
	store.put(manifestKey, configuration);
	const running = await Promise.all(Array.from({length: entries}, async (_, index): Promise<PlatformEntry> => {
		const storeLink = await startSilentProxy(Number(store.address.split(':')[1]));
		return {
			name: `entry-${index}`,
			front: addressesOf.front(loopbackHost(index), base),
			readiness: addressesOf.readiness(loopbackHost(index), base),
			storeLink,
			daemon: await startPlatformEntry({
				index, host: loopbackHost(index), base, seeds, storeAddress: `127.0.0.1:${storeLink.port}`,
			}),
		};
	}));
	const workerList = await Promise.all(Array.from({length: workers}, async (_, index) => servePlatformWorker({
		host: loopbackHost(100 + index), id: `i-${index}`, rack: `r-${index % 2}`, service: 'svc', zone: zoneOf(index), workMilliseconds, failsAll: index < failingWorkers, ...crashOptions,
	})));
	const startAgent = async (worker: PlatformWorker, index: number) => startPlatformAgent({
		index, host: loopbackHost(100 + index), base, seeds, storeAddress: store.address,
	}, worker.address);
	const agents = await Promise.all(workerList.map(async (worker, index) => startAgent(worker, index)));
	for (const [index, worker] of workerList.entries()) {
		worker.announceTo(addressesOf.announcements(loopbackHost(100 + index), base));
	}

	await waitFor('workers', async () => {
		const pages = await Promise.all(running.map(async ({daemon}, index) => readMetrics(`${loopbackHost(index)}:${daemon.ports['metrics'] ?? 0}`)));
		return pages.some(page => page.includes(`dotterelnotch_value{name="usable-workers"} ${workers}\n`)) ? true : undefined;
	});
	return {
		store,
		entries: running,
		agents,
		workers: workerList,
		async restartAgent(agent) {
			await killAll(agents.slice(agent, agent + 1));
			agents[agent] = await startAgent(workerList[agent]!, agent);
		},
		async announce(agent, identifier, text) {
			const address = addressesOf.announcements(loopbackHost(100 + agent), base);
			const response = await fetch(`http://${address}/v1/instances/${identifier}`, {method: 'PUT', body: text});
			return response.status;
		},
		call: async (entry, method, path, body) => callFront(running[entry]?.front ?? '', method, path, {body}),
		async stop() {
			await killAll([...running.map(({daemon}) => daemon), ...agents]);
			await Promise.all(workerList.map(async worker => worker.close()));
			for (const {storeLink} of running) {
				storeLink.close();
			}

			await store.close();
		},
	};
}
