/** What may happen in a cluster, and how often. */
import * as fastCheck from 'fast-check';
import type {WriteFate} from '#test/support/unreliable-store';
import type {WorkerIdentity} from './worker.js';

type AgentFault = Readonly<{agents: readonly number[]; duration: number}>;

export type Action =
	| Readonly<{kind: 'submit'; count: number; accelerators: number; maximumPerWorker: number; duration: number}>
	/** The worker's runs go on under its lease until the grant is over. */
	| Readonly<{kind: 'cut-agents'; from: 'all' | 'scheduler'}> & AgentFault
	| Readonly<{kind: 'freeze-agents'}> & AgentFault
	/** Killed, and started again after the duration. */
	| Readonly<{kind: 'restart-agents'}> & AgentFault
	| Readonly<{kind: 'restart-workers'; agents: readonly number[]; identity: WorkerIdentity}>
	| Readonly<{kind: 'delay-starts'; agents: readonly number[]; starts: number; delay: number}>
	| Readonly<{kind: 'restart-scheduler' | 'freeze-scheduler' | 'cut-store'; duration: number}>
	/** The next writes of keys that begin with `key`. */
	| Readonly<{kind: 'disturb-writes'; key: string; writes: number; fate: WriteFate}>;

/** An action, and how long the cluster then goes on by itself. */
export type Step = Readonly<{action: Action; pause: number}>;

/** Shorter and longer than a connection's timeout, an entry's lease, a grant, and the wait for an unread worker. */
const duration = fastCheck.constantFrom(300, 1000, 4000, 6000, 9500, 9500, 13_000);
const pause = fastCheck.constantFrom(50, 250, 250, 1000, 2500, 9500);
/** Agent 0 comes up most often, since most faults need several actions on the same agent. */
const agents = fastCheck.constantFrom<readonly number[]>([0], [0], [1], [0, 1], [0, 2], [0, 1, 2]);
const submit = fastCheck.record({
	kind: fastCheck.constant('submit' as const),
	count: fastCheck.integer({min: 1, max: 3}),
	accelerators: fastCheck.constantFrom(1, 4),
	maximumPerWorker: fastCheck.constantFrom(0, 1),
	duration: fastCheck.constantFrom(400, 3000, 15_000),
});
const cutAgents = fastCheck.record({
	kind: fastCheck.constant('cut-agents' as const), agents, duration, from: fastCheck.constantFrom('all' as const, 'all' as const, 'scheduler' as const),
});
const agentFault = fastCheck.record({kind: fastCheck.constantFrom('freeze-agents' as const, 'restart-agents' as const), agents, duration});
const schedulerFault = fastCheck.record({kind: fastCheck.constantFrom('restart-scheduler' as const, 'restart-scheduler' as const, 'freeze-scheduler' as const, 'cut-store' as const), duration});
const fate: fastCheck.Arbitrary<WriteFate> = fastCheck.oneof(
	fastCheck.record({kind: fastCheck.constant('answered' as const), appliedAfter: fastCheck.constantFrom(5, 200, 1000), answeredAfter: fastCheck.constantFrom(5, 200, 900)}),
	fastCheck.record({kind: fastCheck.constant('unanswered' as const), appliedAfter: fastCheck.constantFrom(5, 5, 1500, 3000, 6000)}),
	fastCheck.constantFrom<WriteFate>({kind: 'refused'}, {kind: 'never-applied'}),
);
const disturbWrites = fastCheck.record({
	kind: fastCheck.constant('disturb-writes' as const), key: fastCheck.constantFrom('', 'workers', 'workers', 'progress/', 'cluster/'), writes: fastCheck.integer({min: 1, max: 4}), fate,
});
const restartWorkers = fastCheck.record({kind: fastCheck.constant('restart-workers' as const), agents, identity: fastCheck.constantFrom('same' as const, 'other' as const)});
const delayStarts = fastCheck.record({
	kind: fastCheck.constant('delay-starts' as const), agents, starts: fastCheck.integer({min: 1, max: 3}), delay: fastCheck.constantFrom(500, 2000, 5000, 12_000),
});

const handOver: fastCheck.Arbitrary<Action> = fastCheck.oneof(
	{arbitrary: submit, weight: 4},
	{arbitrary: cutAgents, weight: 4},
	{arbitrary: agentFault, weight: 1},
	{arbitrary: schedulerFault, weight: 2},
	{arbitrary: disturbWrites, weight: 3},
);

/** One agent that is away for longer than its grant, and writes of one kind of record: the order that a forgotten record needs seldom comes up among all actions. */
function createRecordStep(key: string, workMilliseconds: readonly number[]): fastCheck.Arbitrary<Step> {
	return fastCheck.record({
		action: fastCheck.oneof(
			{
				arbitrary: fastCheck.record({
					kind: fastCheck.constant('submit' as const),
					count: fastCheck.constantFrom(2, 3),
					accelerators: fastCheck.constant(1),
					maximumPerWorker: fastCheck.constant(1),
					duration: fastCheck.constantFrom(...workMilliseconds),
				}), weight: 2,
			},
			{
				arbitrary: fastCheck.record({
					kind: fastCheck.constantFrom('cut-agents' as const, 'cut-agents' as const, 'freeze-agents' as const, 'restart-agents' as const),
					agents: fastCheck.constant([0]),
					duration: fastCheck.constantFrom(300, 9500, 9500),
					from: fastCheck.constant('all' as const),
				}), weight: 3,
			},
			{arbitrary: fastCheck.record({kind: fastCheck.constantFrom('restart-scheduler' as const, 'cut-store' as const), duration: fastCheck.constantFrom(300, 4000)}), weight: 1},
			{
				arbitrary: fastCheck.record({
					kind: fastCheck.constant('disturb-writes' as const), key: fastCheck.constant(key), writes: fastCheck.constantFrom(1, 2), fate,
				}), weight: 2,
			},
		),
		pause: fastCheck.constantFrom(50, 250, 1000, 9500),
	});
}

/** Faults that the record of workers has to outlast. */
export const workersRecordStep = createRecordStep('workers', [400, 15_000]);

/** Faults that the progress of jobs has to outlast. */
export const progressStep = createRecordStep('progress/', [400, 3000]);

/** Many short tasks, and a scheduler that cannot store their ends or is replaced: workers have more ends than they list. */
export const manyEndsStep: fastCheck.Arbitrary<Step> = fastCheck.record({
	action: fastCheck.oneof(
		{
			arbitrary: fastCheck.record({
				kind: fastCheck.constant('submit' as const),
				count: fastCheck.integer({min: 3, max: 12}),
				accelerators: fastCheck.constant(1),
				maximumPerWorker: fastCheck.constant(0),
				duration: fastCheck.constantFrom(400, 400, 1500),
			}), weight: 4,
		},
		{arbitrary: schedulerFault, weight: 3},
		{
			arbitrary: fastCheck.record({
				kind: fastCheck.constant('disturb-writes' as const), key: fastCheck.constant('progress/'), writes: fastCheck.integer({min: 2, max: 6}), fate,
			}), weight: 3,
		},
		{arbitrary: cutAgents, weight: 1},
	),
	pause: fastCheck.constantFrom(50, 250, 1000, 2500),
});

/** Faults of entries, agents and the store. */
export const handOverStep: fastCheck.Arbitrary<Step> = fastCheck.record({action: handOver, pause});

/** Those and faults of workers. */
export const workerFaultStep: fastCheck.Arbitrary<Step> = fastCheck.record({
	action: fastCheck.oneof({arbitrary: handOver, weight: 4}, {arbitrary: restartWorkers, weight: 1}, {arbitrary: delayStarts, weight: 1}),
	pause,
});
