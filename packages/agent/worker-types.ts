/** The worker's task interface as the agent uses it. */
import * as valibot from 'valibot';
import type {Milliseconds, RefusalReason} from '#core';

export const workerTaskSchema = valibot.object({
	taskId: valibot.string(),
	state: valibot.picklist(['running', 'succeeded', 'failed', 'stopped', 'never-started']),
	body: valibot.optional(valibot.unknown()),
	checkpoint: valibot.optional(valibot.unknown()),
});

export const workerTasksSchema = valibot.object({tasks: valibot.pipe(valibot.array(workerTaskSchema), valibot.readonly())});

/** A task as the worker last reported it. `never-started` is final: the worker refuses a later start of the identifier. */
export type WorkerTask = Readonly<valibot.InferOutput<typeof workerTaskSchema>>;

/** A task to start. The worker stops it when its lease expires without a renewal. */
export type TaskStart = Readonly<{
	taskId: string;
	kind: string;
	payload: unknown;
	accelerators: readonly number[];
	leaseMilliseconds: Milliseconds;
	/** Checkpoint of an earlier run, as the worker returned it; the task runs only the remainder. */
	checkpoint?: unknown;
}>;

/** Only `never-started` guarantees that the task did not and will not start. */
export type StartOutcome =
	| Readonly<{kind: 'started'}>
	| Readonly<{kind: 'never-started'; reason: RefusalReason; message: string}>
	| Readonly<{kind: 'perhaps-started'; message: string}>;

/** `lapsed` lists the tasks that no longer run. */
export type RenewOutcome =
	| Readonly<{kind: 'renewed'; lapsed: readonly string[]}>
	| Readonly<{kind: 'failed'; message: string}>;

export type TaskReply =
	| Readonly<{kind: 'found'; task: WorkerTask}>
	| Readonly<{kind: 'unknown'}>
	| Readonly<{kind: 'failed'; message: string}>;

/** `lost` means that the worker does not know the task, or has not answered for the duration of the task's lease; a wait without a lease has a fixed limit. */
export type TaskEnd =
	| Readonly<{kind: 'ended'; task: WorkerTask}>
	| Readonly<{kind: 'lost'; message: string}>;

export type WorkerClient = Readonly<{
	/** Starts a task. If the outcome is uncertain, queries the task by its identifier, and stops it if the worker does not know it. */
	start(task: TaskStart): Promise<StartOutcome>;
	/** Renews the leases of several tasks in one call. */
	renew(taskIds: readonly string[], leaseMilliseconds: Milliseconds): Promise<RenewOutcome>;
	/** Checkpoints a running task, which continues; the returned task contains the checkpoint. */
	checkpoint(taskId: string): Promise<TaskReply>;
	/** Stops a task; a task that has not started never starts. */
	stop(taskId: string): Promise<TaskReply>;
	/** Throttles a task to a share of its full speed. */
	throttle(taskId: string, share: number): Promise<TaskReply>;
	find(taskId: string): Promise<TaskReply>;
	/** Lists the worker's tasks; undefined if the worker does not answer. */
	list(): Promise<readonly WorkerTask[] | undefined>;
	/** Waits for the end of a task. With a lease, each long poll renews it. */
	waitForEnd(taskId: string, leaseMilliseconds?: Milliseconds): Promise<TaskEnd>;
	close(): void;
}>;
