import type {
	AgentAnswer, EntryId, Milliseconds, Outcome, Place, RefusalReason, RequestWork, RunResult, WorkerId, ZoneName,
} from '#core';
import type {FindResult, WithdrawResult} from '#protocol';

/** Destination of a dispatch: an agent in this entry's zone, or an entry of another zone. */
export type Target =
	| Readonly<{kind: 'agent'; place: Place; zone: ZoneName}>
	| Readonly<{kind: 'entry'; entry: EntryId}>;

/** Last known state of a dispatch. */
export type DispatchState =
	| Readonly<{kind: 'not-sent'; reason: RefusalReason}>
	| Readonly<{kind: 'sent'}>
	/** May have been sent; its outcome is unknown unless a later answer settles it. */
	| Readonly<{kind: 'lost'; reason: RefusalReason}>
	| Readonly<{kind: 'refused'; reason: RefusalReason; retryAfterMilliseconds?: Milliseconds}>
	| Readonly<{kind: 'withdrawn'; reason: RefusalReason}>
	| Readonly<{kind: 'interrupted'; reason: RefusalReason}>
	| Readonly<{kind: 'finished'; result: RunResult}>;

/** One dispatch of a request. `calls` counts calls to its target, since a failed call is repeated at the same place. */
export type Dispatch = Readonly<{target: Target; state: DispatchState; calls: number}>;

/** The stored claim of a non-idempotent identifier. */
export type StoredClaim = Readonly<{
	place: Place;
	zone: ZoneName;
	/** Whether this submission wrote the claim. Only the owner may move it or derive `not-run` from it. */
	isOwner: boolean;
}>;

export type RequestPhase =
	| Readonly<{kind: 'new'}>
	| Readonly<{kind: 'choosing'}>
	| Readonly<{kind: 'claiming'}>
	| Readonly<{kind: 'dispatched'}>
	| Readonly<{kind: 'finding'}>
	| Readonly<{kind: 'withdrawing'; next: 'move' | 'conclude'; reason: RefusalReason}>
	| Readonly<{kind: 'requesting-retry'; place: 'same' | 'other'; reason: RefusalReason}>
	| Readonly<{kind: 'backing-off'; place: 'same' | 'other'}>
	| Readonly<{kind: 'concluded'}>;

/** Why a request is ended before its work completes. */
export type Ending = Readonly<{kind: 'deadline' | 'cancelled' | 'caller-left'; reason: RefusalReason}>;

/** State of a caller's request in one entry. */
export type RequestState = Readonly<{
	work: RequestWork;
	/** Whether the caller has submitted the identifier before. */
	isRetry: boolean;
	phase: RequestPhase;
	dispatches: readonly Dispatch[];
	/** Number of calls over all dispatches; distinguishes a late failure of an earlier call from a failure of the current one. */
	calls: number;
	retries: number;
	claim: StoredClaim | undefined;
	/** Whether the agent named in the claim confirmed that it will never start the identifier. */
	isClaimWithdrawn: boolean;
	ending: Ending | undefined;
	answered: Outcome | undefined;
}>;

export type RequestMessage =
	| Readonly<{kind: 'submitted'}>
	| Readonly<{kind: 'chosen'; target: Target}>
	| Readonly<{kind: 'none-available'; reason: RefusalReason}>
	| Readonly<{kind: 'claimed'; claim: StoredClaim; target: Target}>
	| Readonly<{kind: 'claim-refused'; reason: RefusalReason}>
	| Readonly<{kind: 'answered'; dispatch: number; answer: AgentAnswer}>
	| Readonly<{kind: 'failed'; dispatch: number; call: number; delivery: 'never-sent' | 'perhaps-sent'; reason: RefusalReason}>
	| Readonly<{kind: 'found'; dispatch: number; result: FindResult}>
	/** The incarnation has ended or did not reconnect in time. */
	| Readonly<{kind: 'gone'; dispatch: number}>
	| Readonly<{kind: 'withdrawn'; dispatch: number; result: WithdrawResult}>
	| Readonly<{kind: 'withdraw-failed'; dispatch: number}>
	| Readonly<{kind: 'retry-granted'; jitter: number}>
	| Readonly<{kind: 'retry-denied'}>
	| Readonly<{kind: 'backoff-ended'}>
	| Readonly<{kind: 'deadline'}>
	| Readonly<{kind: 'caller-left'}>
	| Readonly<{kind: 'cancelled'}>;

export type RequestEffect =
	/** Choose a worker of this entry's zone that is not excluded, or an entry of another zone. */
	| Readonly<{kind: 'choose'; excluded: readonly WorkerId[]; mayForward: boolean}>
	/** Write the claim; `from` moves the submission's own claim away from a place that confirmed the withdrawal. */
	| Readonly<{kind: 'claim'; target: Target; from: Place | undefined}>
	| Readonly<{kind: 'dispatch'; dispatch: number; call: number; target: Target}>
	/** Query the agent on its next connection of the same incarnation. */
	| Readonly<{kind: 'find'; dispatch: number; target: Target}>
	| Readonly<{kind: 'withdraw'; dispatch: number; target: Target}>
	| Readonly<{kind: 'request-retry'; reason: RefusalReason}>
	| Readonly<{kind: 'schedule'; delay: Milliseconds; message: RequestMessage}>
	| Readonly<{kind: 'answer'; outcome: Outcome}>
	/** The work is running and is not stopped. */
	| Readonly<{kind: 'refuse-cancel'}>
	/** Replace the recorded outcome, after the caller was answered `unknown`. */
	| Readonly<{kind: 'record'; outcome: Outcome}>;
