/** Plan, faults and recorded history of a soak. */
import type {Milliseconds} from '#core';

/** How a proxy treats the bytes that it relays: `silent` drops them in both directions, `one-way` drops responses. A connection that lost bytes stays silent in both directions. */
export type LinkMode = 'passing' | 'delayed' | 'silent' | 'one-way' | 'reset';

/** A fault injected from outside the programs; `at` is relative to the start of the callers. */
export type Fault = Readonly<{at: Milliseconds; duration: Milliseconds}> & (
	| Readonly<{kind: 'kill-entry' | 'stop-entry' | 'pause-entry'; index: number}>
	| Readonly<{kind: 'kill-agent' | 'pause-agent'; index: number}>
	| Readonly<{kind: 'store'; mode: 'busy' | 'losing' | 'silent'}>
	| Readonly<{kind: 'compact-store'}>
	| Readonly<{kind: 'entry-store-link' | 'agent-worker-link'; index: number; mode: LinkMode}>
	| Readonly<{kind: 'late-starts'; index: number; delay: Milliseconds}>
	| Readonly<{kind: 'change-configuration'; version: number}>
);

export type SoakSize = Readonly<{entries: number; workers: number; seconds: number}>;

export type SoakPlan = Readonly<{seed: number; size: SoakSize; faults: readonly Fault[]}>;

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
export type RunRecord = Readonly<{worker: string; task: string; run: number; startedAt: number; endedAt: number | undefined; ending: string | undefined}>;

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
