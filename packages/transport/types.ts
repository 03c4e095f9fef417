import type {
	Cancel, Clock, Logger, Registry,
} from '#kernel';
import type {InferInput, InferOutput} from 'valibot';
import type {Milliseconds, RefusalReason} from '#core';
import type {MethodName, methods} from '#protocol';

/** Parameters as written by hand or as read from another message. */
export type MethodParameters<Name extends MethodName> = InferInput<typeof methods[Name]['parameters']> | InferOutput<typeof methods[Name]['parameters']>;
export type MethodResult<Name extends MethodName> = InferOutput<typeof methods[Name]['result']>;

/** Result of a remote call. `never-sent` is certain; `perhaps-sent` leaves open whether the other side acted on it. */
export type CallReply<Result> =
	| Readonly<{kind: 'answered'; result: Result}>
	| Readonly<{kind: 'failed'; delivery: 'never-sent' | 'perhaps-sent'; reason: RefusalReason; message: string}>;

/** One open connection to another process. */
export type RpcPeer = Readonly<{
	/** Address of the other side, for logs. */
	address: string;
	call<Name extends MethodName>(method: Name, parameters: MethodParameters<Name>, timeout: Milliseconds): Promise<CallReply<MethodResult<Name>>>;
	close(reason: string): void;
	isOpen(): boolean;
	/** Bytes of messages so far, without the framing. */
	traffic(): Readonly<{sent: number; received: number}>;
	onClosed(listener: (reason: string) => void): Cancel;
}>;

/** What a connection needs from its program. */
export type PeerServices<Context> = Readonly<{
	registry: Registry<Context, RpcPeer>;
	context: Context;
	clock: Clock;
	log: Logger;
}>;
