/** Two entries, three agents with their workers, and a store, with the faults that actions bring about. */
import {leadershipService} from '#coordinator';
import type {JobKey, JobProgress, TaskName} from '#jobs';
import {silentLog, type ProgramLog} from '#kernel';
import type {Transaction} from '#store';
import {keyOf, submissionOf} from '#test/support/scheduling';
import {createUnreliableStore, type WriteFate} from '#test/support/unreliable-store';
import type {Action} from './actions.js';
import {createGuarantees, type Guarantees} from './guarantees.js';
import {createNetwork} from './network.js';
import type {SimulatedProcess} from './process.js';
import {
	startAgent, startEntry, type EntryProgram, type Environment,
} from './programs.js';
import {createTimeline} from './timeline.js';
import {createWorker} from './worker.js';

export type Cluster = Readonly<{
	guarantees: Guarantees;
	act(action: Action): void;
	elapse(duration: number): Promise<void>;
	/** Ends all faults. */
	heal(): void;
	/** Jobs that have not ended according to the store. */
	listOpenJobs(): readonly JobKey[];
	time(): number;
}>;

export type ClusterOptions = Readonly<{
	/** Ends that a worker lists at a time. */
	listedEnds?: number;
	log?: ProgramLog;
}>;

const entryHosts = ['entry-0', 'entry-1'] as const;
const workerNames = ['w-0', 'w-1', 'w-2'] as const;
/** The platform's description lets workers' clocks run up to 2% slow. */
const clockRates = [1, 0.98, 0.99] as const;
const storeLatencyMilliseconds = 10;
const storeTimeoutMilliseconds = 2000;
const prompt: WriteFate = {kind: 'answered', appliedAfter: 5, answeredAfter: 5};

export function createCluster({listedEnds = 500, log = silentLog}: ClusterOptions = {}): Cluster {
	const timeline = createTimeline();
	const {clock} = timeline;
	const network = createNetwork(clock);
	const guarantees = createGuarantees();
	const workMilliseconds = new Map<string, number>();
	/** Faults that end by themselves, or with `heal`. */
	const ongoing = new Set<() => void>();
	const storeCuts = new Map<string, number>();
	let disturbedWrites: ReadonlyArray<Readonly<{key: string; fate: WriteFate}>> = [];
	let jobs = 0;
	/** A job whose workers crash again and again may be given up. */
	let haveWorkersRestarted = false;
	let seed = 0;
	const chooseFate = ({puts}: Transaction): WriteFate => {
		const found = disturbedWrites.find(({key}) => puts.some(put => put.key.startsWith(key)));
		disturbedWrites = disturbedWrites.filter(disturbed => disturbed !== found);
		return found?.fate ?? prompt;
	};

	const store = createUnreliableStore(clock, chooseFate);
	const environment: Environment = {
		clock, network, log, nextSeed: () => ++seed,
	};
	const workers = workerNames.map((name, index) => createWorker({
		name, clock, clockRate: clockRates[index] ?? 1, listedEnds, workMillisecondsOf: (task: TaskName) => workMilliseconds.get(task.slice(0, 16)) ?? 0, observe: guarantees.observe,
	}));

	const connectStore = (host: string) => (process: SimulatedProcess) => store.connect({
		isReachable: () => (storeCuts.get(host) ?? 0) === 0, deliver: process.deliver, latency: storeLatencyMilliseconds, timeout: storeTimeoutMilliseconds,
	});
	const launchEntry = (host: string) => startEntry(host, entryHosts.filter(other => other !== host), connectStore(host), environment);
	const launchAgent = (index: number) => startAgent(`agent-${index}`, entryHosts, workers[index] ?? raise(`no worker ${index}`), environment);
	const entries = new Map<string, EntryProgram>(entryHosts.map(host => [host, launchEntry(host)]));
	const agents = workerNames.map((_, index) => launchAgent(index));

	const begin = (duration: number, end: () => void) => {
		const endOnce = () => {
			if (ongoing.delete(endOnce)) {
				end();
			}
		};

		ongoing.add(endOnce);
		clock.schedule(duration, endOnce);
	};

	const freeze = (process: SimulatedProcess, duration: number) => {
		process.freeze();
		begin(duration, process.resume);
	};

	const cut = (host: string, others: readonly string[], duration: number) => {
		for (const other of others) {
			network.cut(host, other);
		}

		begin(duration, () => {
			for (const other of others) {
				network.heal(host, other);
			}
		});
	};

	/** The entry that schedules; the newer one if both believe to. */
	const findScheduler = () => {
		const terms = [...entries].flatMap(([host, {process, context}]) => {
			const {term} = context.services.use(leadershipService).read();
			return term === undefined || process.isKilled() ? [] : [{host, epoch: term.epoch}];
		});
		return terms.toSorted((first, second) => second.epoch - first.epoch)[0]?.host ?? entryHosts[0];
	};

	const useEntry = (host: string, act: (entry: EntryProgram) => void) => {
		const entry = entries.get(host);
		if (entry !== undefined) {
			act(entry);
		}
	};

	const cutStore = (host: string, duration: number) => {
		storeCuts.set(host, (storeCuts.get(host) ?? 0) + 1);
		begin(duration, () => {
			storeCuts.set(host, (storeCuts.get(host) ?? 0) - 1);
		});
	};

	const forAgents = (chosen: readonly number[], act: (agent: SimulatedProcess, index: number) => void) => {
		for (const index of chosen) {
			act(agents[index] ?? raise(`no agent ${index}`), index);
		}
	};

	return {
		guarantees,
		act(action) {
			switch (action.kind) {
				case 'submit': {
					const submission = submissionOf(++jobs, [{
						count: action.count, accelerators: action.accelerators, maximumPerWorker: action.maximumPerWorker, estimatedMilliseconds: action.duration,
					}], {submittedAt: clock.now(), priority: 0});
					workMilliseconds.set(submission.job, action.duration);
					store.put(`jobs/${submission.job}`, {kind: 'accepted', submission});
					break;
				}

				case 'cut-agents': {
					forAgents(action.agents, (_, index) => {
						cut(`agent-${index}`, action.from === 'all' ? entryHosts : [findScheduler()], action.duration);
					});
					break;
				}

				case 'freeze-agents': {
					forAgents(action.agents, agent => {
						freeze(agent, action.duration);
					});
					break;
				}

				case 'restart-agents': {
					forAgents(action.agents, (agent, index) => {
						if (!agent.isKilled()) {
							agent.kill();
							begin(action.duration, () => {
								agents[index] = launchAgent(index);
							});
						}
					});
					break;
				}

				case 'restart-workers': {
					haveWorkersRestarted = true;
					forAgents(action.agents, (_, index) => {
						workers[index]?.restart(action.identity);
					});
					break;
				}

				case 'delay-starts': {
					forAgents(action.agents, (_, index) => {
						workers[index]?.delayStarts(action.starts, action.delay);
					});
					break;
				}

				case 'restart-scheduler': {
					const host = findScheduler();
					useEntry(host, ({process}) => {
						if (!process.isKilled()) {
							process.kill();
							begin(action.duration, () => {
								entries.set(host, launchEntry(host));
							});
						}
					});
					break;
				}

				case 'freeze-scheduler': {
					useEntry(findScheduler(), ({process}) => {
						freeze(process, action.duration);
					});
					break;
				}

				case 'cut-store': {
					cutStore(findScheduler(), action.duration);
					break;
				}

				case 'disturb-writes': {
					disturbedWrites = [...disturbedWrites, ...Array.from({length: action.writes}, () => ({key: action.key, fate: action.fate}))];
				}
			}
		},
		async elapse(duration) {
			await timeline.runUntil(clock.now() + duration);
		},
		heal() {
			disturbedWrites = [];
			for (const worker of workers) {
				worker.delayStarts(0, 0);
			}

			for (const end of ongoing) {
				end();
			}
		},
		listOpenJobs: () => Array.from({length: jobs}, (_, index) => keyOf(index + 1)).filter(key => {
			const outcome = (store.read(`progress/${key}`) as JobProgress | undefined)?.outcome;
			return outcome !== 'completed' && !(outcome === 'failed' && haveWorkersRestarted);
		}),
		time: clock.now,
	};
}

function raise(message: string): never {
	throw new Error(message);
}
