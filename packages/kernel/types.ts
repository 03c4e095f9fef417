/** Types of plug-ins, tasks, HTTP messages, settings and the services that a program provides. */
import type {GenericSchema, InferOutput} from 'valibot';
import type {
	Finding, Milliseconds, MonotonicTime, CurrentTime, Step, Timestamp,
} from '#core';

export type {CurrentTime} from '#core';

/** Cancels a timer, stops a task or removes a listener. */
export type Cancel = () => void;

/** Source of time and timers. Tests and benchmarks use a virtual clock. */
export type Clock = Readonly<{
	now(): Timestamp;
	monotonic(): MonotonicTime;
	schedule(delay: Milliseconds, callback: () => void): Cancel;
}>;

/** State machine of a task. `receive` is a pure function of the state, a message and the current time. */
export type TaskDefinition<State, Message, Effect> = Readonly<{
	name: string;
	initialState: State;
	receive(state: State, message: Message, time: CurrentTime): Step<State, Effect>;
}>;

/** Handle of a running task. Its state changes only through messages. */
export type TaskHandle<State, Message> = Readonly<{
	name: string;
	send(message: Message): void;
	read(): State;
	/** Calls the listener after each message. */
	subscribe(listener: (state: State) => void): Cancel;
	stop(): void;
}>;

/** Performs an effect of a task; results are sent back to the task as messages. */
export type EffectHandler<Message, Effect> = (effect: Effect, send: (message: Message) => void) => void;

/** A decoded and validated HTTP request. */
export type HttpRequest<Body> = Readonly<{
	parameters: Readonly<Record<string, string>>;
	query: URLSearchParams;
	body: Body;
	/** Aborted when the client disconnects. */
	signal: AbortSignal;
}>;

/** Response of an HTTP route. */
export type HttpReply =
	| Readonly<{kind: 'json'; status: number; body: unknown; headers?: Readonly<Record<string, string>>}>
	| Readonly<{kind: 'text'; status: number; body: string; contentType: string}>
	| Readonly<{kind: 'problem'; problem: Problem}>;

/** Problem details of RFC 9457, with a machine-readable reason. */
export type Problem = Readonly<{
	status: number;
	/** Stable, machine-readable identifier. Example: `queue-full`. */
	reason: string;
	title: string;
	detail?: string;
	findings?: readonly Finding[];
	retryAfterMilliseconds?: Milliseconds;
	/** Extension members of the problem document. */
	extensions?: Readonly<Record<string, unknown>>;
}>;

export type HttpMethod = 'GET' | 'POST' | 'PUT' | 'DELETE';

/** Handles one HTTP method of one path. */
export type HttpRoutePlugin<Context> = Readonly<{
	kind: 'http-route';
	/** Also the `operationId` in the OpenAPI document. */
	name: string;
	/** One-sentence summary for the OpenAPI document. */
	summary?: string;
	method: HttpMethod;
	/** Example: `/v1/requests/:requestId`. */
	path: string;
	bodySchema?: GenericSchema;
	handle(request: HttpRequest<unknown>, context: Context): Promise<HttpReply>;
}>;

/** Handles one JSON-RPC method on a connection of type `Peer`. */
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
	/** Adapters are started before all other tasks, which use them. */
	isAdapter?: boolean;
	start(context: Context): Cancel;
}>;

/** A subcommand of a command-line program. */
export type CommandPlugin<Context> = Readonly<{
	kind: 'command';
	/** Usage string for Sade. Example: `put <file>`. */
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

/** Metrics of a program. Reasons are label values, so they must come from a fixed set. */
export type Counters = Readonly<{
	countRefusal(reason: string): void;
	countRetry(reason: string): void;
	/** Counts an event that is neither a refusal nor a retry. Example: `claims-written`. */
	countEvent(name: string, amount?: number): void;
	recordLatency(name: string, duration: Milliseconds): void;
	/** Sets a value that can go up and down. */
	setGauge(name: string, value: number): void;
	/** Returns all metrics in the Prometheus text exposition format. */
	exposition(): Promise<string>;
}>;

/** A setting of a program, read from a flag or the corresponding environment variable. */
export type SettingDefinition<Schema extends GenericSchema<string, unknown> = GenericSchema<string, unknown>> = Readonly<{
	schema: Schema;
	description: string;
	/** Undefined for a required setting. */
	default?: string;
}>;

export type SettingDefinitions = Readonly<Record<string, SettingDefinition>>;

export type SettingsOf<Definitions extends SettingDefinitions> = Readonly<{
	[Name in keyof Definitions]: InferOutput<Definitions[Name]['schema']>;
}>;
