/** What a soak plans, does and records. */
import type {Milliseconds} from '#core';

/** What a proxy does with the bytes between its two ends. */
export type LinkMode = 'passing' | 'delayed' | 'silent' | 'one-way' | 'reset';

/** A fault from outside the programs; `at` counts from the start of the callers. */
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

/** One answer that a caller got; status 0 means that none came. */
export type CallRecord = Readonly<{
	at: number;
	answeredAt: number;
	entry: number;
	action: 'submit' | 'show' | 'cancel';
	job: string;
	status: number;
	state?: string;
}>;

/** A job as its caller described it. */
export type JobDescription = Readonly<{job: string; steps: ReadonlyArray<Readonly<{count: number; after: readonly number[]}>>}>;

/** One run on a worker; times are Unix milliseconds. */
export type RunRecord = Readonly<{worker: string; task: string; run: number; startedAt: number; endedAt: number | undefined; ending: string | undefined}>;

/** Everything that callers and workers saw, for a check during or after the run. */
export type History = Readonly<{
	plan: SoakPlan;
	startedAt: number;
	/** When the last fault was over and the callers had stopped. */
	calmAt: number;
	endedAt: number;
	jobs: readonly JobDescription[];
	calls: readonly CallRecord[];
	runs: readonly RunRecord[];
	/** Status of the newest queue at each entry at the end. */
	newestQueue: readonly number[];
}>;

/** A promise that was broken, with what shows it. */
export type Violation = Readonly<{promise: string; job: string; detail: string}>;
