/** Results of callers, executions on workers, and their comparison. */
import type {Timestamp} from '#core';

export type WorkClass = 'short' | 'long' | 'gang';

/** Final result of one request or gang at its caller. `stopped` means that a gang started and did not finish; `none`, that the caller never received a final answer. */
export type CallerResult = Readonly<{
	id: string;
	workClass: WorkClass;
	plan: string;
	idempotent: boolean;
	outcome: 'completed' | 'not-run' | 'stopped' | 'unknown' | 'none';
	/** Reason that was reported for the outcome, if any. */
	reason?: string;
	/** Whether a completed answer contains the result of this work and not of other work. */
	isOwnResult: boolean;
	submittedAt: Timestamp;
	endedAt: Timestamp;
}>;

/** One task execution on a worker. */
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
	/** Whether the task started from a checkpoint. */
	isResumed: boolean;
	/** Whether the task had saved a checkpoint when it ended. */
	isCheckpointed: boolean;
}>;

/** Totals of the comparison of callers' results with workers' records. */
export type Comparison = Readonly<{
	submitted: number;
	completed: number;
	notRun: number;
	/** Outcomes `unknown` and `stopped`. */
	unknown: number;
	lost: number;
	doubled: number;
	misreported: number;
	/** One line for each lost, doubled or misreported result, with its identifier. */
	discrepancies: readonly string[];
}>;
