import * as valibot from 'valibot';
import type {HttpReply, TaskHandle} from '#kernel';

/** Body of `POST /tasks` of the worker's interface. */
export const startTaskSchema = valibot.object({
	taskId: valibot.string(),
	kind: valibot.string(),
	/** `payload.milliseconds` says how long the task runs; `payload.fail` makes it fail. */
	payload: valibot.unknown(),
	accelerators: valibot.pipe(valibot.array(valibot.number()), valibot.readonly()),
	leaseMilliseconds: valibot.number(),
	checkpoint: valibot.optional(valibot.unknown()),
});
export type StartTask = Readonly<valibot.InferOutput<typeof startTaskSchema>>;

export type WorkerTask = Readonly<{
	taskId: string;
	state: 'running' | 'succeeded' | 'failed' | 'stopped';
	startedAt: number;
	endedAt?: number;
	body?: unknown;
	checkpoint?: unknown;
}>;

export type Respond = (reply: HttpReply) => void;

export type WorkerState = Readonly<{
	tasks: ReadonlyMap<string, WorkerTask>;
	waiting: ReadonlyArray<Readonly<{taskId: string; respond: Respond}>>;
}>;

export type WorkerMessage =
	| Readonly<{kind: 'start'; task: StartTask; respond: Respond}>
	| Readonly<{kind: 'wait'; taskId: string; respond: Respond}>
	| Readonly<{kind: 'ended'; taskId: string; body: unknown; state: 'succeeded' | 'failed'}>
	| Readonly<{kind: 'list'; respond: Respond}>;

export type WorkerEffect =
	| Readonly<{kind: 'respond'; respond: Respond; reply: HttpReply}>
	| Readonly<{kind: 'schedule-end'; taskId: string; delay: number; body: unknown; state: 'succeeded' | 'failed'}>;

export type WorkerContext = Readonly<{worker: TaskHandle<WorkerState, WorkerMessage>}>;
