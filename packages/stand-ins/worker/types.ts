/** Request bodies, state, messages and effects of the stand-in worker. */
import * as valibot from 'valibot';
import {type MonotonicTime, type Timestamp, durationSchema} from '#core';
import type {HttpReply, TaskHandle} from '#kernel';

/** Body of `POST /tasks`. */
export const startTaskSchema = valibot.object({
	taskId: valibot.string(),
	kind: valibot.string(),
	/** `payload.milliseconds` sets the run time; `payload.fail` makes the task fail. */
	payload: valibot.unknown(),
	accelerators: valibot.pipe(valibot.array(valibot.number()), valibot.readonly()),
	leaseMilliseconds: durationSchema,
	/** Checkpoint of an earlier run; the task runs only the remainder. */
	checkpoint: valibot.optional(valibot.unknown()),
});
export type StartTask = Readonly<valibot.InferOutput<typeof startTaskSchema>>;

/** Body of `POST /renewals`; the reply lists the tasks that are not running here. */
export const renewTasksSchema = valibot.object({
	taskIds: valibot.pipe(valibot.array(valibot.string()), valibot.readonly()),
	leaseMilliseconds: durationSchema,
});
export type RenewTasks = Readonly<valibot.InferOutput<typeof renewTasksSchema>>;

/** Body of `POST /tasks/:taskId/throttle`: the share of its full speed at which the task continues. */
export const throttleTaskSchema = valibot.object({share: valibot.pipe(valibot.number(), valibot.minValue(0.01), valibot.maxValue(1))});

/** Body of `POST /switches`: faults to switch on or off; omitted switches do not change. */
export const switchesSchema = valibot.partial(valibot.object({
	/** Calls other than `POST /switches` are ignored and get no reply. */
	hang: valibot.boolean(),
	/** Tasks start, but the replies to their start requests are never sent. */
	loseStartAnswers: valibot.boolean(),
	/** Every new task fails as soon as it has started. */
	failAll: valibot.boolean(),
	/** Multiplier of the run time of new tasks. */
	slowFactor: valibot.pipe(valibot.number(), valibot.minValue(0.001)),
	/** Tasks whose run time is over do not end until this is switched off. */
	pauseEnds: valibot.boolean(),
}));
export type SwitchChanges = Readonly<valibot.InferOutput<typeof switchesSchema>>;
export type Switches = Readonly<{[Name in keyof SwitchChanges]-?: Exclude<SwitchChanges[Name], undefined>}>;

/** Resources and usage lag of the stand-in worker. */
export type WorkerSettings = Readonly<{
	rack: string;
	processors: number;
	memoryMegabytes: number;
	accelerators: number;
	/** Age of reported usage. */
	usageLagMilliseconds: number;
}>;

export type TaskEndState = 'succeeded' | 'failed' | 'stopped';

export type WorkerTask = Readonly<{
	taskId: string;
	kind: string;
	state: 'running' | TaskEndState;
	accelerators: readonly number[];
	processors: number;
	memoryMegabytes: number;
	payload: unknown;
	startedAt: Timestamp;
	endedAt?: Timestamp;
	body?: unknown;
	checkpoint?: unknown;
	leaseUntil: MonotonicTime;
	/** Remaining run time at `progressAt`, at full speed. */
	remainingMilliseconds: number;
	progressAt: MonotonicTime;
	/** Share of full speed. */
	share: number;
	/** Incremented by each throttle, so that the timer for the previous speed is ignored. */
	generation: number;
	endsAs: 'succeeded' | 'failed';
}>;

/** One start or end on the worker; `duplicate-start` is a repeated start of a known identifier. */
export type ExecutionRecord = Readonly<{
	taskId: string;
	event: 'started' | 'ended' | 'duplicate-start';
	at: Timestamp;
	/** Accelerators of a task that started. */
	accelerators?: readonly number[];
	state?: TaskEndState;
	/** Whether a task that started resumes a checkpoint, or one that ended had saved one. */
	hasCheckpoint?: boolean;
}>;

/** Linked list that grows without copying, since a long demonstration produces many records. */
export type RecordList = Readonly<{record: ExecutionRecord; previous: RecordList | undefined}>;

export type Usage = Readonly<{at: Timestamp; tasks: number; processors: number; memoryMegabytes: number; accelerators: number}>;

export type Respond = (reply: HttpReply) => void;

export type Waiter = Readonly<{taskId: string; waiterId: number; respond: Respond}>;

export type WorkerState = Readonly<{
	settings: WorkerSettings;
	switches: Switches;
	tasks: ReadonlyMap<string, WorkerTask>;
	/** Tombstones of tasks that were stopped before they started; they never start. */
	withdrawn: ReadonlySet<string>;
	waiting: readonly Waiter[];
	nextWaiterId: number;
	/** Ends deferred until `pauseEnds` is switched off. */
	deferredEnds: ReadonlyArray<Readonly<{taskId: string; generation: number}>>;
	records: RecordList | undefined;
	/** Usage after each change, oldest first, retained as long as the lag requires. */
	usage: readonly Usage[];
}>;

export type WorkerMessage =
	| Readonly<{kind: 'start'; task: StartTask; respond: Respond}>
	| Readonly<{kind: 'renew'; renewal: RenewTasks; respond: Respond}>
	| Readonly<{kind: 'checkpoint'; taskId: string; respond: Respond}>
	| Readonly<{kind: 'throttle'; taskId: string; share: number; respond: Respond}>
	| Readonly<{kind: 'stop'; taskId: string; respond: Respond}>
	/** Gets its reply when the task ends or after `milliseconds`, whichever is first; extends the lease if one is given. */
	| Readonly<{kind: 'wait'; taskId: string; milliseconds: number; leaseMilliseconds: number | undefined; respond: Respond}>
	| Readonly<{kind: 'wait-ended'; waiterId: number}>
	| Readonly<{kind: 'run-ended'; taskId: string; generation: number}>
	| Readonly<{kind: 'lease-due'; taskId: string}>
	| Readonly<{kind: 'list'; respond: Respond}>
	| Readonly<{kind: 'list-records'; respond: Respond}>
	| Readonly<{kind: 'describe'; respond: Respond}>
	| Readonly<{kind: 'show-usage'; respond: Respond}>
	| Readonly<{kind: 'switch'; changes: SwitchChanges; respond: Respond}>;

export type WorkerEffect =
	| Readonly<{kind: 'respond'; respond: Respond; reply: HttpReply}>
	| Readonly<{kind: 'schedule'; delay: number; message: WorkerMessage}>;

export type WorkerContext = Readonly<{worker: TaskHandle<WorkerState, WorkerMessage>}>;
