/** What callers were told, and what the workers recorded. */
import type {Timestamp} from '#core';

export type WorkClass = 'short' | 'long' | 'gang';

/** What a caller knows about one piece of work in the end. `stopped` means that a gang started and did not finish; `none`, that no answer came at all. */
export type CallerResult = Readonly<{
	id: string;
	workClass: WorkClass;
	plan: string;
	idempotent: boolean;
	outcome: 'completed' | 'not-run' | 'stopped' | 'unknown' | 'none';
	/** Reason of a refusal. */
	reason?: string;
	/** Whether a completed answer holds the result of this very piece of work. */
	isOwnResult: boolean;
	submittedAt: Timestamp;
	endedAt: Timestamp;
}>;

/** One task that a worker ran. */
export type Execution = Readonly<{
	/** Identifier of the request or job that the task belongs to. */
	id: string;
	worker: string;
	/** Attempt of a gang; 0 for a request. */
	attempt: number;
	/** Member of a gang; 0 for a request. */
	member: number;
	accelerators: readonly number[];
	startedAt: Timestamp;
	endedAt: Timestamp | undefined;
	state: 'running' | 'succeeded' | 'failed' | 'stopped';
}>;

/** Totals of the comparison between callers and workers. */
export type Comparison = Readonly<{
	submitted: number;
	completed: number;
	notRun: number;
	/** Unknown or stopped. */
	unknown: number;
	lost: number;
	doubled: number;
	misreported: number;
	/** Identifiers of everything lost, doubled or misreported, with what was wrong. */
	faults: readonly string[];
}>;
