/** Entries, agents, workers and the store of a platform as separate processes and listeners on loopback. */
import {
	startDaemon, killAll, waitFor, type Daemon,
} from '../processes.js';
import {servePlatformStore, type PlatformStore} from './store.js';
import {servePlatformWorker, type PlatformWorker} from './worker.js';

export type PlatformEntry = Readonly<{name: string; front: string; readiness: string; daemon: Daemon}>;

export type Deployment = Readonly<{
	store: PlatformStore;
	entries: readonly PlatformEntry[];
	agents: readonly Daemon[];
	workers: readonly PlatformWorker[];
	/** Sends a caller's request; undefined if no answer came. */
	call(entry: number, method: string, path: string, body?: unknown): Promise<Readonly<{status: number; body: unknown}> | undefined>;
	stop(): Promise<void>;
}>;

export type DeploymentOptions = Readonly<{entries: number; workers: number; workMilliseconds: number; failingWorkers?: number; configuration?: unknown}>;

export const queueHost = 'queue.example';
export const apiKey = 'key-1';

/** Two queues: `/urgent/` of priority 0 and `/batch/` of priority 2. */
export const defaultManifest = {
	version: 3,
	routes: [
		{
			name: 'urgent', host: queueHost, prefix: '/urgent/', service: 'svc', priority: 0, max_attempts: 3, stretch: 1.5, target_duration_ms: 600, public: false,
		},
		{
			name: 'batch', host: queueHost, prefix: '/batch/', service: 'svc', priority: 2, max_attempts: 2, stretch: 3, target_duration_ms: 3000, public: false,
		},
	],
	tenants: [{name: 'tenant', api_keys: [apiKey], guaranteed: {gpus: 8}}],
};

/** Each test file takes its own ports, so that files may run one after the other without waiting for sockets. */
let nextPort = 21_000 + ((process.pid % 500) * 20);

async function readMetrics(address: string): Promise<string> {
	const response = await fetch(`http://${address}/metrics`);
	return response.text();
}

export async function startDeployment({entries, workers, workMilliseconds, failingWorkers = 0, configuration = defaultManifest}: DeploymentOptions): Promise<Deployment> {
	const store = await servePlatformStore();
	const base = nextPort;
	nextPort += 20;
	const hostOf = (index: number) => `127.0.1.${index + 1}`;
	const seeds = `${hostOf(0)}:1`;
	store.put('op/config', configuration);
	const running = await Promise.all(Array.from({length: entries}, async (_, index): Promise<PlatformEntry> => ({
		name: `entry-${index}`,
		front: `${hostOf(index)}:${base + 2}`,
		readiness: `${hostOf(index)}:${base + 3}`,
		daemon: await startDaemon('platform-entry', {
			entry: `entry-${index}`, zone: 'z', 'listen-host': hostOf(index), 'peer-ports': `${base},${base + 1}`, 'front-address': `${hostOf(index)}:${base + 2}`,
			'readiness-address': `${hostOf(index)}:${base + 3}`, 'store-address': store.address, seeds, 'metrics-port': base + 1, 'grace-seconds': 3,
		}),
	})));
	const workerList = await Promise.all(Array.from({length: workers}, async (_, index) => servePlatformWorker({
		host: hostOf(100 + index), id: `i-${index}`, rack: `r-${index % 2}`, service: 'svc', workMilliseconds, failsAll: index < failingWorkers,
	})));
	const agents = await Promise.all(workerList.map(async (worker, index) => startDaemon('platform-agent', {
		agent: `agent-${index}`, 'listen-host': hostOf(100 + index), 'peer-ports': `${base},${base + 1}`, 'announcement-address': `${hostOf(100 + index)}:${base + 4}`,
		'worker-address': worker.address, seeds, 'store-address': store.address, 'maximum-hold-milliseconds': 6000, 'metrics-port': base + 1,
	})));
	for (const [index, worker] of workerList.entries()) {
		worker.announceTo(`${hostOf(100 + index)}:${base + 4}`);
	}

	await waitFor('workers', async () => {
		const pages = await Promise.all(running.map(async ({daemon}, index) => readMetrics(`${hostOf(index)}:${daemon.ports['metrics'] ?? 0}`)));
		return pages.some(page => page.includes(`dotterelnotch_value{name="usable-workers"} ${workers}\n`)) ? true : undefined;
	});
	return {
		store,
		entries: running,
		agents,
		workers: workerList,
		async call(entry, method, path, body) {
			const front = running[entry]?.front ?? '';
			try {
				const {request} = await import('undici');
				const response = await request(`http://${front}${path}`, {
					method: method as 'GET', headers: {
						host: queueHost, 'api-key': apiKey, 'deadline-ms': '3000', 'content-type': 'application/json',
					}, ...(body === undefined ? {} : {body: JSON.stringify(body)}),
				});
				return {status: response.statusCode, body: await response.body.json()};
			} catch {
				return undefined;
			}
		},
		async stop() {
			await killAll([...running.map(({daemon}) => daemon), ...agents]);
			await Promise.all(workerList.map(async worker => worker.close()));
			await store.close();
		},
	};
}
