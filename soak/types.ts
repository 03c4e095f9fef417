/** Plan, faults and recorded history of a soak. */
import type {Milliseconds} from '#core';
import type {Departure} from '#test/support/platform/worker-announcements';
import type {OrderKind} from '#test/support/platform/worker-orders';

/** How a proxy treats the bytes that it relays: `silent` drops them in both directions, `one-way` drops responses. A connection that lost bytes stays silent in both directions. */
export type LinkMode = 'passing' | 'delayed' | 'silent' | 'one-way' | 'reset';

type FaultTime = Readonly<{at: Milliseconds; duration: Milliseconds}>;

/** A fault of a program, the store, a link or the configuration. */
export type ProgramFault = FaultTime & (
	| Readonly<{kind: 'kill-entry' | 'stop-entry' | 'pause-entry'; index: number}>
	| Readonly<{kind: 'kill-agent' | 'pause-agent'; index: number}>
	| Readonly<{kind: 'store'; mode: 'busy' | 'losing' | 'silent'}>
	| Readonly<{kind: 'compact-store'}>
	| Readonly<{kind: 'entry-store-link' | 'agent-worker-link'; index: number; mode: LinkMode}>
	| Readonly<{kind: 'late-starts'; index: number; delay: Milliseconds}>
	| Readonly<{kind: 'change-configuration'; version: number}>
	/** The operator closes the zone, and opens it at the end of the fault. */
	| Readonly<{kind: 'close-zone'; zone: string}>
);

/** How a worker ends and comes back under its identifier, after a pause. */
export type WorkerReturn =
	| Readonly<{kind: 'restart'; pause: Milliseconds; down: Milliseconds}>
	/** The departure is confirmed. */
	| Readonly<{kind: 'leave'; pause: Milliseconds; drain: Milliseconds; away: Milliseconds}>;

/** For `interval`, starts get no answer and are carried out after `delay`; the worker then returns once or twice. */
type LateReturnsPart = Readonly<{kind: 'late-returns'; index: number; interval: Milliseconds; delay: Milliseconds; returns: readonly WorkerReturn[]}>;
export type LateReturns = FaultTime & LateReturnsPart;

/** What happens to an incarnation of a worker, and to what was sent to it or by it. */
export type WorkerFault = FaultTime & (
	/** The worker crashes and starts again under its identifier; it takes orders for `silent` before it announces itself. */
	| Readonly<{kind: 'restart-worker'; index: number; down: Milliseconds; silent: Milliseconds}>
	/** For the duration of the fault, orders of these kinds get no answer and are carried out after `delay`. With a restart, the worker then crashes. */
	| Readonly<{kind: 'late-orders'; index: number; orders: readonly OrderKind[]; delay: Milliseconds; restart: Readonly<{down: Milliseconds}> | undefined}>
	/** The worker drains and leaves, and comes back after `away`. A delayed report of its departure arrives `reportedAfter` it came back. */
	| Readonly<{kind: 'leave-worker'; index: number; drain: Milliseconds; departure: Departure; away: Milliseconds; identifier: 'same' | 'new'; reportedAfter: Milliseconds}>
	/** An announcement of the incarnation before arrives. */
	| Readonly<{kind: 'late-announcement'; index: number}>
	| LateReturnsPart
);

/** A fault injected from outside the programs; `at` is relative to the start of the callers. */
export type Fault = ProgramFault | WorkerFault;

export type SoakSize = Readonly<{entries: number; workers: number; seconds: number}>;

/** Which faults a plan contains. Each scope adds faults to those of the one before, whose plans stay as they were; the last one adds a closed zone to those of the programs. */
export const planScopes = ['programs', 'programs-and-workers', 'programs-workers-and-late-returns', 'programs-and-closed-zones'] as const;
export type PlanScope = typeof planScopes[number];

/** Histories of earlier versions have no scope. */
export type SoakPlan = Readonly<{seed: number; size: SoakSize; scope?: PlanScope; faults: readonly Fault[]}>;

/** One call and its response; status 0 means that no response arrived. */
export type CallRecord = Readonly<{
	at: number;
	answeredAt: number;
	entry: number;
	action: 'submit' | 'show' | 'cancel';
	job: string;
	status: number;
	state?: string;
}>;

/** A job as submitted by its caller. */
export type JobDescription = Readonly<{job: string; steps: ReadonlyArray<Readonly<{count: number; after: readonly number[]}>>}>;

/** One run on a worker; times are Unix times in milliseconds. */
export type RunRecord = Readonly<{
	worker: string;
	task: string;
	run: number;
	startedAt: number;
	endedAt: number | undefined;
	ending: string | undefined;
	/** When an answer first listed the end. */
	listedAt?: number | undefined;
	/** When the end was acknowledged before the worker's lease lapsed. */
	notedAt?: number | undefined;
	/** When the worker's lease lapsed after the end, unless it was acknowledged before. */
	lapsedAt?: number | undefined;
}>;

/** Everything that callers and workers recorded, for checks after the run. */
export type History = Readonly<{
	plan: SoakPlan;
	startedAt: number;
	/** Time at which the last fault was over and submissions had stopped. */
	calmAt: number;
	endedAt: number;
	jobs: readonly JobDescription[];
	calls: readonly CallRecord[];
	runs: readonly RunRecord[];
	/** HTTP status that each entry finally returned for the queue that only the newest configuration contains. */
	newestQueue: readonly number[];
}>;

/** A violated invariant with the evidence. */
export type Violation = Readonly<{invariant: string; job: string; detail: string}>;
