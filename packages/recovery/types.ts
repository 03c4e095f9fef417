import type {
	AgentAnswer, EntryId, Milliseconds, Outcome, Place, RefusalReason, RequestWork, RunResult, WorkerId, ZoneName,
} from '#core';
import type {FindResult, WithdrawResult} from '#protocol';

/** Where a request is sent: an agent of the own zone, or an entry of another zone. */
export type Target =
	| Readonly<{kind: 'agent'; place: Place; zone: ZoneName}>
	| Readonly<{kind: 'entry'; entry: EntryId}>;

/** What is known about one sending of a request. */
export type DispatchState =
	| Readonly<{kind: 'not-sent'; reason: RefusalReason}>
	| Readonly<{kind: 'sent'}>
	/** Sent, and nobody can say any more what became of it. */
	| Readonly<{kind: 'lost'; reason: RefusalReason}>
	| Readonly<{kind: 'refused'; reason: RefusalReason; retryAfterMilliseconds?: Milliseconds}>
	| Readonly<{kind: 'withdrawn'; reason: RefusalReason}>
	| Readonly<{kind: 'interrupted'; reason: RefusalReason}>
	| Readonly<{kind: 'finished'; result: RunResult}>;

/** One sending of a request; `calls` counts how often its target was called, since a broken call is repeated at the same place. */
export type Dispatch = Readonly<{target: Target; state: DispatchState; calls: number}>;

/** What the store says about a non-idempotent identifier. */
export type StoredClaim = Readonly<{
	place: Place;
	zone: ZoneName;
	/** Whether this run of the request wrote it. Only the owner may move a claim, or say `not-run` on its ground. */
	isOwner: boolean;
}>;

export type RequestPhase =
	| Readonly<{kind: 'new'}>
	| Readonly<{kind: 'choosing'}>
	| Readonly<{kind: 'claiming'}>
	| Readonly<{kind: 'dispatched'}>
	| Readonly<{kind: 'finding'}>
	| Readonly<{kind: 'withdrawing'; next: 'move' | 'conclude'; reason: RefusalReason}>
	| Readonly<{kind: 'asking-retry'; place: 'same' | 'other'; reason: RefusalReason}>
	| Readonly<{kind: 'backing-off'; place: 'same' | 'other'}>
	| Readonly<{kind: 'concluded'}>;

/** Why a request is being ended before its work is done. */
export type Ending = Readonly<{kind: 'deadline' | 'cancelled' | 'caller-left'; reason: RefusalReason}>;

/** One request of a caller in one entry. */
export type RequestState = Readonly<{
	work: RequestWork;
	/** The caller submitted the identifier before. */
	isRetry: boolean;
	phase: RequestPhase;
	dispatches: readonly Dispatch[];
	/** Number of calls made for dispatches; tells a late failure of an earlier call from one of the present call. */
	calls: number;
	retries: number;
	claim: StoredClaim | undefined;
	/** The agent named in the claim confirmed that it will never start the identifier. */
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
	/** The incarnation is gone or did not come back in time. */
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
	/** Choose a worker of the own zone that is not excluded, or an entry of another zone. */
	| Readonly<{kind: 'choose'; excluded: readonly WorkerId[]; mayForward: boolean}>
	/** Write the claim; `from` moves the own claim away from a place that confirmed the withdrawal. */
	| Readonly<{kind: 'claim'; target: Target; from: Place | undefined}>
	| Readonly<{kind: 'dispatch'; dispatch: number; call: number; target: Target}>
	/** Ask the agent on its next connection of the same incarnation. */
	| Readonly<{kind: 'find'; dispatch: number; target: Target}>
	| Readonly<{kind: 'withdraw'; dispatch: number; target: Target}>
	| Readonly<{kind: 'ask-retry'; reason: RefusalReason}>
	| Readonly<{kind: 'schedule'; delay: Milliseconds; message: RequestMessage}>
	| Readonly<{kind: 'answer'; outcome: Outcome}>
	/** The work is running and will not be stopped. */
	| Readonly<{kind: 'refuse-cancel'}>
	/** A later finding replaces the outcome that the caller was given. */
	| Readonly<{kind: 'record'; outcome: Outcome}>;
