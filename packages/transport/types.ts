import type {
	Cancel, Clock, Logger, Registry,
} from '#kernel';
import type {InferInput, InferOutput} from 'valibot';
import type {Milliseconds, RefusalReason} from '#core';
import type {MethodName, methods} from '#protocol';

/** Parameters of a method before or after they are parsed by its schema. */
export type MethodParameters<Name extends MethodName> = InferInput<typeof methods[Name]['parameters']> | InferOutput<typeof methods[Name]['parameters']>;
export type MethodResult<Name extends MethodName> = InferOutput<typeof methods[Name]['result']>;

/** Result of a remote call. `never-sent` means that the call certainly was not sent; with `perhaps-sent` the peer may have processed it. */
export type CallReply<Result> =
	| Readonly<{kind: 'answered'; result: Result}>
	| Readonly<{kind: 'failed'; delivery: 'never-sent' | 'perhaps-sent'; reason: RefusalReason; message: string}>;

/** JSON-RPC connection to another process. */
export type RpcPeer = Readonly<{
	/** Address of the peer, for logs. */
	address: string;
	call<Name extends MethodName>(method: Name, parameters: MethodParameters<Name>, timeout: Milliseconds): Promise<CallReply<MethodResult<Name>>>;
	close(reason: string): void;
	isOpen(): boolean;
	/** Bytes of all messages so far, without WebSocket framing. */
	traffic(): Readonly<{sent: number; received: number}>;
	onClosed(listener: (reason: string) => void): Cancel;
}>;

/** Services that a program provides to its peer connections. */
export type PeerServices<Context> = Readonly<{
	registry: Registry<Context, RpcPeer>;
	context: Context;
	clock: Clock;
	log: Logger;
}>;
