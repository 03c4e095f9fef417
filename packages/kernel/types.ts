/** Plug-ins, tasks and the services that a program gives them. */
import type {GenericSchema, InferOutput} from 'valibot';
import type {
	Finding, Milliseconds, MonotonicTime, Present, Step, Timestamp,
} from '#core';

export type {Present} from '#core';

/** Ends something that was started: a timer, a task, a listener. */
export type Cancel = () => void;

/** Source of time and timers. Tests and benchmarks pass one that runs on virtual time. */
export type Clock = Readonly<{
	now(): Timestamp;
	monotonic(): MonotonicTime;
	schedule(delay: Milliseconds, callback: () => void): Cancel;
}>;

/** A task's decisions: pure functions of its state, a message and the present time. */
export type TaskDefinition<State, Message, Effect> = Readonly<{
	name: string;
	initialState: State;
	receive(state: State, message: Message, present: Present): Step<State, Effect>;
}>;

/** A running task. Its state changes only through messages. */
export type TaskHandle<State, Message> = Readonly<{
	name: string;
	send(message: Message): void;
	read(): State;
	/** Calls the listener after each message. */
	subscribe(listener: (state: State) => void): Cancel;
	stop(): void;
}>;

/** Performs the effects of a task; replies come back as messages. */
export type EffectHandler<Message, Effect> = (effect: Effect, send: (message: Message) => void) => void;

/** A request of a caller or operator, decoded and checked. */
export type HttpRequest<Body> = Readonly<{
	parameters: Readonly<Record<string, string>>;
	query: URLSearchParams;
	body: Body;
	/** Aborted when the caller goes away. */
	signal: AbortSignal;
}>;

/** An answer of an HTTP route. */
export type HttpReply =
	| Readonly<{kind: 'json'; status: number; body: unknown; headers?: Readonly<Record<string, string>>}>
	| Readonly<{kind: 'text'; status: number; body: string; contentType: string}>
	| Readonly<{kind: 'problem'; problem: Problem}>;

/** Problem details of RFC 9457, with a stable reason for programs. */
export type Problem = Readonly<{
	status: number;
	/** Stable and machine-readable. Example: `queue-full`. */
	reason: string;
	title: string;
	detail?: string;
	findings?: readonly Finding[];
	retryAfterMilliseconds?: Milliseconds;
	/** Further members of the problem document. */
	extensions?: Readonly<Record<string, unknown>>;
}>;

export type HttpMethod = 'GET' | 'POST' | 'PUT' | 'DELETE';

/** Serves one method of one path. */
export type HttpRoutePlugin<Context> = Readonly<{
	kind: 'http-route';
	/** Also the operation identifier of the OpenAPI description. */
	name: string;
	/** One sentence for the OpenAPI description. */
	summary?: string;
	method: HttpMethod;
	/** Example: `/v1/requests/:requestId`. */
	path: string;
	bodySchema?: GenericSchema;
	handle(request: HttpRequest<unknown>, context: Context): Promise<HttpReply>;
}>;

/** Answers one JSON-RPC method on a connection of type `Peer`. */
export type RpcMethodPlugin<Context, Peer> = Readonly<{
	kind: 'rpc-method';
	name: string;
	parametersSchema: GenericSchema;
	handle(parameters: unknown, context: Context, peer: Peer): Promise<unknown>;
}>;

/** Starts a long-lived task when the program starts. */
export type TaskPlugin<Context> = Readonly<{
	kind: 'task';
	name: string;
	/** Ports are started before all other tasks, since those use them. */
	isAdapter?: boolean;
	start(context: Context): Cancel;
}>;

/** A subcommand of a command-line program. */
export type CommandPlugin<Context> = Readonly<{
	kind: 'command';
	/** Sade usage. Example: `put <file>`. */
	name: string;
	description: string;
	options: ReadonlyArray<Readonly<{flag: string; description: string; default?: string | boolean}>>;
	/** Resolves to the exit code. */
	perform(commandArguments: readonly string[], options: Readonly<Record<string, unknown>>, context: Context): Promise<number>;
}>;

export type Plugin<Context, Peer = never> =
	| HttpRoutePlugin<Context>
	| RpcMethodPlugin<Context, Peer>
	| TaskPlugin<Context>
	| CommandPlugin<Context>;

/** Reasons are label values, so they come from a fixed set. */
export type Counters = Readonly<{
	countRefusal(reason: string): void;
	countRetry(reason: string): void;
	/** Counts an event that is neither a refusal nor a retry. Example: `claims-grouped`. */
	countEvent(name: string, amount?: number): void;
	recordLatency(name: string, duration: Milliseconds): void;
	/** Sets a value that goes up and down. */
	setGauge(name: string, value: number): void;
	/** Prometheus text exposition. */
	exposition(): Promise<string>;
}>;

/** One setting of a program: a flag and an environment variable of the same name. */
export type SettingDefinition<Schema extends GenericSchema<string, unknown> = GenericSchema<string, unknown>> = Readonly<{
	schema: Schema;
	description: string;
	/** Absent for a required setting. */
	default?: string;
}>;

export type SettingDefinitions = Readonly<Record<string, SettingDefinition>>;

export type SettingsOf<Definitions extends SettingDefinitions> = Readonly<{
	[Name in keyof Definitions]: InferOutput<Definitions[Name]['schema']>;
}>;
