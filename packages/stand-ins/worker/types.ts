/** Bodies and state of the stand-in worker's task interface. */
import * as valibot from 'valibot';
import {type MonotonicTime, type Timestamp, durationSchema} from '#core';
import type {HttpReply, TaskHandle} from '#kernel';

/** Body of `POST /tasks` of the worker's interface. */
export const startTaskSchema = valibot.object({
	taskId: valibot.string(),
	kind: valibot.string(),
	/** `payload.milliseconds` says how long the task runs; `payload.fail` makes it fail. */
	payload: valibot.unknown(),
	accelerators: valibot.pipe(valibot.array(valibot.number()), valibot.readonly()),
	leaseMilliseconds: durationSchema,
	/** State of an earlier run; the task runs only the remainder. */
	checkpoint: valibot.optional(valibot.unknown()),
});
export type StartTask = Readonly<valibot.InferOutput<typeof startTaskSchema>>;

/** Body of `POST /renewals`; the answer names the tasks that do not run here. */
export const renewTasksSchema = valibot.object({
	taskIds: valibot.pipe(valibot.array(valibot.string()), valibot.readonly()),
	leaseMilliseconds: durationSchema,
});
export type RenewTasks = Readonly<valibot.InferOutput<typeof renewTasksSchema>>;

/** Body of `POST /tasks/:taskId/throttle`: the share of its full speed at which the task goes on. */
export const throttleTaskSchema = valibot.object({share: valibot.pipe(valibot.number(), valibot.minValue(0.01), valibot.maxValue(1))});

/** Body of `POST /switches`: faults to switch on or off; absent switches keep their position. */
export const switchesSchema = valibot.partial(valibot.object({
	/** Every call is ignored and its connection stays silent. */
	hang: valibot.boolean(),
	/** Tasks start, but the answers to their start are never sent. */
	loseStartAnswers: valibot.boolean(),
	/** Every task fails as soon as it has started. */
	failAll: valibot.boolean(),
	/** Run times of tasks that start from now on are multiplied by this. */
	slowFactor: valibot.pipe(valibot.number(), valibot.minValue(0.001)),
	/** Tasks do not end until this is switched off. */
	pauseEnds: valibot.boolean(),
}));
export type SwitchChanges = Readonly<valibot.InferOutput<typeof switchesSchema>>;
export type Switches = Readonly<{[Name in keyof SwitchChanges]-?: Exclude<SwitchChanges[Name], undefined>}>;

/** What the stand-in worker has. */
export type WorkerSettings = Readonly<{
	rack: string;
	processors: number;
	memoryMegabytes: number;
	accelerators: number;
	/** Reported usage is this old. */
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
	/** Run time that was left at `progressAt`, at full speed. */
	remainingMilliseconds: number;
	progressAt: MonotonicTime;
	/** Share of the full speed. */
	share: number;
	/** Raised by each change of speed, so that the timer of the earlier speed is ignored. */
	generation: number;
	endsAs: 'succeeded' | 'failed';
}>;

/** One start or end as the worker saw it; `duplicate-start` is a start of an identifier that it already knew. */
export type ExecutionRecord = Readonly<{
	taskId: string;
	event: 'started' | 'ended' | 'duplicate-start';
	at: Timestamp;
	/** Accelerators of a task that started. */
	accelerators?: readonly number[];
	state?: TaskEndState;
}>;

/** A list that grows at its head without copying; the records of a long demonstration are many. */
export type RecordList = Readonly<{record: ExecutionRecord; previous: RecordList | undefined}>;

export type Usage = Readonly<{at: Timestamp; tasks: number; processors: number; memoryMegabytes: number; accelerators: number}>;

export type Respond = (reply: HttpReply) => void;

export type Waiter = Readonly<{taskId: string; waiterId: number; respond: Respond}>;

export type WorkerState = Readonly<{
	settings: WorkerSettings;
	switches: Switches;
	tasks: ReadonlyMap<string, WorkerTask>;
	/** Identifiers that were stopped before they started; they never start. */
	withdrawn: ReadonlySet<string>;
	waiting: readonly Waiter[];
	nextWaiterId: number;
	/** Ends that wait until `pauseEnds` is switched off. */
	deferredEnds: ReadonlyArray<Readonly<{taskId: string; generation: number}>>;
	records: RecordList | undefined;
	/** Usage after each change, oldest first, as far back as the lag. */
	usage: readonly Usage[];
}>;

export type WorkerMessage =
	| Readonly<{kind: 'start'; task: StartTask; respond: Respond}>
	| Readonly<{kind: 'renew'; renewal: RenewTasks; respond: Respond}>
	| Readonly<{kind: 'checkpoint'; taskId: string; respond: Respond}>
	| Readonly<{kind: 'throttle'; taskId: string; share: number; respond: Respond}>
	| Readonly<{kind: 'stop'; taskId: string; respond: Respond}>
	/** Answered at the end of the task or after `milliseconds`, whichever is first; renews the lease if one is given. */
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
