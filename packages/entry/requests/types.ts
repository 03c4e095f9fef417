import type {
	MonotonicTime, Outcome, PlanName, RefusalReason, RequestId, RequestWork, ShardedMap,
} from '#core';
import type {ReplyId} from '#kernel';
import type {RetryBudget} from '#limits';

/** A request that this entry is working on. */
export type InFlight = Readonly<{
	/** Tells this run of the identifier from earlier ones in the same entry. */
	number: number;
	digest: string;
	callers: readonly ReplyId[];
	cancellations: readonly ReplyId[];
}>;

/** A request whose callers were answered. */
export type Ended = Readonly<{number: number; digest: string; outcome: Outcome}>;

/** Ended requests of some time; the older of two generations is dropped whole. */
export type Generation = Readonly<{requests: ShardedMap<Ended>; bytes: number; startedAt: MonotonicTime}>;

export type RequestsState = Readonly<{
	nextNumber: number;
	inFlight: ShardedMap<InFlight>;
	current: Generation;
	previous: Generation;
	/** Requests that hold a place in the bounds: those not settled yet. */
	unsettled: number;
	plans: ReadonlyMap<PlanName, number>;
	budget: RetryBudget;
}>;

/** What the entry tells a caller of one submission. */
export type SubmitReply =
	| Readonly<{kind: 'outcome'; outcome: Outcome}>
	/** Refused before anything was done for it. */
	| Readonly<{kind: 'refused'; reason: RefusalReason; retryAfterMilliseconds?: number}>;

export type CancelReply =
	| Readonly<{kind: 'outcome'; outcome: Outcome}>
	| Readonly<{kind: 'running'}>
	| Readonly<{kind: 'absent'}>;

export type SubmitOptions = Readonly<{
	isRetry: boolean;
	/** Whether the request may go to an entry of another zone. */
	mayForward: boolean;
	/** Most requests of the plan, and of all plans, at once in this entry. */
	planLimit: number;
	totalLimit: number;
}>;

export type RequestsMessage =
	| Readonly<{kind: 'submit'; work: RequestWork; digest: string; options: SubmitOptions; replyId: ReplyId}>
	| Readonly<{kind: 'left'; requestId: RequestId; replyId: ReplyId}>
	| Readonly<{kind: 'cancel'; requestId: RequestId; replyId: ReplyId}>
	| Readonly<{kind: 'cancel-refused'; requestId: RequestId; number: number}>
	| Readonly<{kind: 'answered'; requestId: RequestId; number: number; outcome: Outcome; bytes: number}>
	| Readonly<{kind: 'recorded'; requestId: RequestId; number: number; outcome: Outcome; bytes: number}>
	| Readonly<{kind: 'settled'; plan: PlanName}>
	| Readonly<{kind: 'ask-retry'; number: number; plan: PlanName}>;

export type RequestsEffect =
	| Readonly<{kind: 'start'; number: number; work: RequestWork; isRetry: boolean; mayForward: boolean}>
	| Readonly<{kind: 'send'; number: number; message: Readonly<{kind: 'caller-left' | 'cancelled'}>}>
	| Readonly<{kind: 'decide-retry'; number: number; isAllowed: boolean}>
	| Readonly<{kind: 'reply-submit'; replyId: ReplyId; reply: SubmitReply}>
	| Readonly<{kind: 'reply-cancel'; replyId: ReplyId; reply: CancelReply}>;
