/** Entries, agents, workers and a store on loopback, with proxies between them and injected faults. */
import {assertNever, type Milliseconds} from '#core';
import {sleep, systemClock} from '#kernel';
import {loopbackHost} from '#test/support/loopback';
import {killAll, type Daemon} from '#test/support/processes';
import {describeManifest, evacuationPrefix, manifestKey} from '#test/support/platform/caller';
import {
	addressesOf, startPlatformAgent, startPlatformEntry, type ProgramOptions,
} from '#test/support/platform/programs';
import {servePlatformStore, type PlatformStore} from '#test/support/platform/store';
import {servePlatformWorker} from '#test/support/platform/worker';
import {zoneOfWorker} from './closed-zones.js';
import {openProxy} from './proxy.js';
import type {
	Fault, PlanScope, ProgramFault, RunRecord, SoakPlan,
} from './types.js';
import {isWorkerFault} from './worker-faults.js';
import {createWorkerFaults} from './worker-incidents.js';

const firstVersion = 3;
const portsPerFleet = 20;
const firstPort = 24_000;
/** Seeds whose difference is a multiple of this share ports, so their fleets cannot run in one process at the same time. */
const portRangeCount = 300;
const restartMilliseconds = 100;

/** Limits output, since programs under faults log a lot and the history records what the checks need. */
const quietOptions: ProgramOptions = {settings: {'log-level': 'warn'}, errors: 'ignore'};

export type Fleet = Readonly<{
	fronts: readonly string[];
	/** Injects a fault and resolves when it is over; a program that was killed or stopped may still be restarting. */
	apply(fault: Fault): Promise<void>;
	/** Lists every run that the workers have started. */
	listRuns(): readonly RunRecord[];
	/** Path of the queue that only the newest configuration contains. */
	newestQueuePath(): string;
	/** Stops every process and closes every proxy. */
	stop(): Promise<void>;
}>;

function describeConfiguration(version: number): unknown {
	const queue = (name: string, priority: number) => ({
		name, priority, attempts: 3, stretch: 3, targetMilliseconds: 3000,
	});
	return describeManifest(version, [queue('urgent', 0), queue('batch', 2), queue(`v${version}`, 1)]);
}

/** Faults of workers need runs that go on while they last. */
const workMillisecondsOf = {
	programs: (index: number) => 300 + (index * 200),
	'programs-and-workers': (index: number) => 600 + (index * 900),
	'programs-workers-and-late-returns': (index: number) => 600 + (index * 900),
	'programs-and-closed-zones': (index: number) => 300 + (index * 200),
} as const satisfies Readonly<Record<PlanScope, (index: number) => Milliseconds>>;

export async function startFleet({seed, size: {entries, workers}, scope = 'programs'}: SoakPlan): Promise<Fleet> {
	const base = firstPort + ((seed % portRangeCount) * portsPerFleet);
	const agentHostOf = (index: number) => loopbackHost(100 + index);
	const store = await servePlatformStore();
	let version = firstVersion;
	store.put(manifestKey, describeConfiguration(version));
	const storeLinks = await Promise.all(Array.from({length: entries}, async (_, index) => openProxy(loopbackHost(index), store.address)));
	const workerList = await Promise.all(Array.from({length: workers}, async (_, index) => servePlatformWorker({
		host: agentHostOf(index), id: `i-${index}`, rack: `r-${index % 2}`, service: 'svc', zone: zoneOfWorker(index), workMilliseconds: workMillisecondsOf[scope](index),
	})));
	const workerLinks = await Promise.all(workerList.map(async (worker, index) => openProxy(agentHostOf(index), worker.address)));
	const seeds = `${loopbackHost(0)}:1`;
	const entryPrograms = storeLinks.map((link, index) => supervise(async () => startPlatformEntry({
		index, host: loopbackHost(index), base, seeds, storeAddress: link.address,
	}, quietOptions)));
	const agentPrograms = workerLinks.map((link, index) => supervise(async () => startPlatformAgent({
		index, host: agentHostOf(index), base, seeds, storeAddress: store.address,
	}, link.address, quietOptions)));
	await Promise.all([...entryPrograms, ...agentPrograms].map(async program => program.ready));
	for (const [index, worker] of workerList.entries()) {
		worker.announceTo(addressesOf.announcements(agentHostOf(index), base));
	}

	const links = {'entry-store-link': storeLinks, 'agent-worker-link': workerLinks} as const;
	const applyWorkerFault = createWorkerFaults(workerList);
	const applyProgramFault = async (fault: ProgramFault): Promise<void> => {
		switch (fault.kind) {
			case 'kill-entry': {
				entryPrograms[fault.index]?.signal('SIGKILL');
				break;
			}

			case 'stop-entry': {
				entryPrograms[fault.index]?.signal('SIGTERM');
				break;
			}

			case 'pause-entry': {
				await pauseProgram(entryPrograms[fault.index], fault.duration);
				break;
			}

			case 'kill-agent': {
				agentPrograms[fault.index]?.signal('SIGKILL');
				break;
			}

			case 'pause-agent': {
				await pauseProgram(agentPrograms[fault.index], fault.duration);
				break;
			}

			case 'store': {
				store.setMode(fault.mode);
				await sleep(systemClock, fault.duration);
				store.setMode('serving');
				break;
			}

			case 'compact-store': {
				store.compact();
				break;
			}

			case 'entry-store-link':
			case 'agent-worker-link': {
				const link = links[fault.kind][fault.index];
				link?.setMode(fault.mode);
				await sleep(systemClock, fault.duration);
				link?.setMode('passing');
				break;
			}

			case 'late-starts': {
				workerList[fault.index]?.delayOrders(['start'], fault.delay);
				await sleep(systemClock, fault.duration);
				workerList[fault.index]?.answerOrders();
				break;
			}

			case 'change-configuration': {
				version = Math.max(version + 1, fault.version);
				store.put(manifestKey, describeConfiguration(version));
				break;
			}

			case 'close-zone': {
				await closeZone(store, fault.zone, fault.duration);
				break;
			}

			default: {
				assertNever(fault);
			}
		}
	};

	return {
		fronts: entryPrograms.map((_, index) => addressesOf.front(loopbackHost(index), base)),
		apply: async fault => isWorkerFault(fault) ? applyWorkerFault(fault) : applyProgramFault(fault),
		listRuns: () => workerList.flatMap(worker => worker.records()),
		newestQueuePath: () => `/v${version}/`,
		async stop() {
			const daemons = [...entryPrograms, ...agentPrograms].flatMap(program => program.end());
			await killAll(daemons);
			await Promise.all([...storeLinks, ...workerLinks].map(async link => link.close()));
			await Promise.all(workerList.map(async worker => worker.close()));
			await store.close();
		},
	};
}

type SupervisedProgram = Readonly<{
	ready: Promise<void>;
	signal(signal: NodeJS.Signals): void;
	/** Disables restarts and returns the current process, if any. */
	end(): readonly Daemon[];
}>;

/** Restarts a program whenever it exits, as the platform does. */
function supervise(start: () => Promise<Daemon>): SupervisedProgram {
	let daemon: Daemon | undefined;
	let isStopped = false;
	const run = async (): Promise<void> => {
		const started = await start();
		if (isStopped) {
			started.process.kill('SIGKILL');
			return;
		}

		daemon = started;
		void (async () => {
			await started.exited;
			await sleep(systemClock, restartMilliseconds);
			if (!isStopped) {
				await run();
			}
		})();
	};

	return {
		ready: run(),
		signal(signal) {
			daemon?.process.kill(signal);
		},
		end() {
			isStopped = true;
			return daemon === undefined ? [] : [daemon];
		},
	};
}

/** Closes a zone and opens it again, as the operator does. */
async function closeZone(store: PlatformStore, zone: string, duration: Milliseconds): Promise<void> {
	store.put(evacuationPrefix + zone, {});
	await sleep(systemClock, duration);
	store.remove(evacuationPrefix + zone);
}

async function pauseProgram(program: SupervisedProgram | undefined, duration: Milliseconds): Promise<void> {
	program?.signal('SIGSTOP');
	await sleep(systemClock, duration);
	program?.signal('SIGCONT');
}
