/** One program of the platform under a crowd of clients, with the memory of its machine as deploy/system.toml describes it. */
import {readFile, readdir} from 'node:fs/promises';
import {loopbackHost} from '../loopback.js';
import {killAll, waitFor, type Daemon} from '../processes.js';
import {callFront, manifestKey} from '../platform/caller.js';
import {defaultManifest} from '../platform/deployment.js';
import {addressesOf, startPlatformAgent, startPlatformEntry} from '../platform/programs.js';
import {servePlatformStore} from '../platform/store.js';

/** Limits by the environment variable of their setting; a program without the setting ignores it. */
export type LoweredLimits = Readonly<Record<string, string>>;

/** Ports that someone else may connect to. */
export type PortName = 'front' | 'readiness' | 'entry-metrics' | 'peers' | 'announcements' | 'agent-metrics';

export type ProgramUnderTest = Readonly<{
	/** Example: `127.0.0.1:29002`. */
	address: string;
	/** Memory of the machine. */
	machineBytes: number;
	isRunning(): boolean;
	/** Largest resident size so far. */
	readPeakBytes(): Promise<number>;
	countDescriptors(): Promise<number>;
	/** Completes one request as an ordinary client of the port. */
	serveOrdinary(key: string): Promise<void>;
	stop(): Promise<void>;
}>;

const megabyte = 1_000_000;
const entryMachine = {bytes: 250 * megabyte, heapMegabytes: 96};
const agentMachine = {bytes: 218 * megabyte, heapMegabytes: 64};

let nextPort = 29_000;

async function isAnswered(url: string, status: number, request: RequestInit = {}): Promise<true | undefined> {
	try {
		const response = await fetch(url, {...request, headers: {...request.headers, connection: 'close'}, signal: AbortSignal.timeout(3000)});
		await response.text();
		return response.status === status ? true : undefined;
	} catch {
		// No answer is what the client sees of every failure of the connection.
		return undefined;
	}
}

const announcement = {
	address: '127.0.0.1:1', service: 'svc', zone: 'z', state: 'ready', seq_no: 1, capacity: {cpu: 1000, mem_mb: 1000},
};

/** How an ordinary client of each port sees that it is served. */
async function askOrdinary(port: PortName, address: string, key: string): Promise<true | undefined> {
	switch (port) {
		case 'front': {
			const step = {
				count: 1, cpu: 1000, mem_mb: 100, gpus: 1, estimate_ms: 100,
			};
			const accepted = await callFront(address, 'POST', `/batch/${key}`, {body: {spec: '', steps: [step]}});
			const shown = await callFront(address, 'GET', `/batch/${key}`);
			return accepted?.status === 200 && shown?.status === 200 ? true : undefined;
		}

		case 'readiness': {
			return isAnswered(`http://${address}/`, 200);
		}

		case 'entry-metrics':
		case 'agent-metrics': {
			return isAnswered(`http://${address}/metrics`, 200);
		}

		case 'peers': {
			return isAnswered(`http://${address}/`, 426);
		}

		case 'announcements': {
			return isAnswered(`http://${address}/v1/instances/i-0`, 200, {method: 'PUT', body: JSON.stringify(announcement)});
		}
	}
}

async function readStatus(daemon: Daemon, field: string): Promise<number> {
	const status = await readFile(`/proc/${daemon.process.pid}/status`, 'utf8');
	return Number(new RegExp(String.raw`^${field}:\s+(\d+) kB`, 'm').exec(status)?.[1]) * 1024;
}

/** Starts the program that listens on the port, with a store. */
export async function startProgram(port: PortName, limits: LoweredLimits): Promise<ProgramUnderTest> {
	const store = await servePlatformStore();
	store.put(manifestKey, defaultManifest);
	const base = nextPort;
	nextPort += 20;
	const host = loopbackHost(0);
	const place = {
		index: 0, host, base, seeds: '', storeAddress: store.address,
	};
	const isAgent = port === 'announcements' || port === 'agent-metrics';
	const machine = isAgent ? agentMachine : entryMachine;
	const options = {nodeArguments: [`--max-old-space-size=${machine.heapMegabytes}`], environment: limits, errors: 'ignore'} as const;
	const daemon = isAgent ? await startPlatformAgent(place, '127.0.0.1:1', options) : await startPlatformEntry(place, options);
	const addresses: Readonly<Record<PortName, string>> = {
		front: addressesOf.front(host, base),
		readiness: addressesOf.readiness(host, base),
		'entry-metrics': `${host}:${daemon.ports['metrics'] ?? 0}`,
		peers: `${host}:${base}`,
		announcements: addressesOf.announcements(host, base),
		'agent-metrics': `${host}:${daemon.ports['metrics'] ?? 0}`,
	};
	const address = addresses[port];
	return {
		address,
		machineBytes: machine.bytes,
		isRunning: () => daemon.process.exitCode === null && daemon.process.signalCode === null,
		readPeakBytes: async () => readStatus(daemon, 'VmHWM'),
		async countDescriptors() {
			const entries = await readdir(`/proc/${daemon.process.pid}/fd`);
			return entries.length;
		},
		async serveOrdinary(key) {
			await waitFor(`an answer to an ordinary client of ${port}`, async () => askOrdinary(port, address, key));
		},
		async stop() {
			await killAll([daemon]);
			await store.close();
		},
	};
}
