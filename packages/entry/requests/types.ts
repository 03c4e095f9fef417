import type {
	MonotonicTime, Outcome, PlanName, RefusalReason, RequestId, RequestWork, ShardedMap,
} from '#core';
import type {ReplyId} from '#kernel';
import type {RetryBudget} from '#limits';

/** A request that this entry is processing. */
export type InFlight = Readonly<{
	/** Sequence number in this entry; distinguishes this request task from earlier ones with the same identifier. */
	number: number;
	digest: string;
	callers: readonly ReplyId[];
	cancellations: readonly ReplyId[];
}>;

/** A request whose callers have been answered. */
export type Ended = Readonly<{number: number; digest: string; outcome: Outcome}>;

/** Ended requests of one period; the older of two generations is dropped as a whole. */
export type Generation = Readonly<{requests: ShardedMap<Ended>; bytes: number; startedAt: MonotonicTime}>;

export type RequestsState = Readonly<{
	nextNumber: number;
	inFlight: ShardedMap<InFlight>;
	current: Generation;
	previous: Generation;
	/** Number of requests that are not settled yet; these count towards the limits. */
	unsettled: number;
	plans: ReadonlyMap<PlanName, number>;
	budget: RetryBudget;
}>;

/** The entry's reply to one submission. */
export type SubmitReply =
	| Readonly<{kind: 'outcome'; outcome: Outcome}>
	/** Refused before any processing. */
	| Readonly<{kind: 'refused'; reason: RefusalReason; retryAfterMilliseconds?: number}>;

export type CancelReply =
	| Readonly<{kind: 'outcome'; outcome: Outcome}>
	| Readonly<{kind: 'running'}>
	| Readonly<{kind: 'absent'}>;

export type SubmitOptions = Readonly<{
	isRetry: boolean;
	/** Whether the request may be forwarded to an entry of another zone. */
	mayForward: boolean;
	/** Maximum number of unsettled requests of the plan, and of all plans, in this entry. */
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
	| Readonly<{kind: 'request-retry'; number: number; plan: PlanName}>;

export type RequestsEffect =
	| Readonly<{kind: 'start'; number: number; work: RequestWork; isRetry: boolean; mayForward: boolean}>
	| Readonly<{kind: 'send'; number: number; message: Readonly<{kind: 'caller-left' | 'cancelled'}>}>
	| Readonly<{kind: 'decide-retry'; number: number; isAllowed: boolean}>
	| Readonly<{kind: 'reply-submit'; replyId: ReplyId; reply: SubmitReply}>
	| Readonly<{kind: 'reply-cancel'; replyId: ReplyId; reply: CancelReply}>;
