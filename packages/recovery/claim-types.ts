import type {
	Incarnation, MonotonicTime, Place, RequestId, WorkerId, ZoneName,
} from '#core';

/** Stored binding of a non-idempotent request to the only place that may run it. */
export type Claim = Readonly<{
	place: Place;
	zone: ZoneName;
	/**
	Submission that wrote the claim, unique across all entries. Only this submission may move it.

	A later submission in the same entry is not an owner: an agent may have run the identifier and discarded its record since.
	*/
	owner: string;
}>;

export type ClaimBook = ReadonlyMap<RequestId, Claim>;

/** Stored value of one claim key. */
export type ClaimValue = Readonly<{claims: Readonly<Record<string, Readonly<{worker: WorkerId; incarnation: Incarnation; zone: ZoneName; owner: string}>>>}>;

/** A request whose claim is not written yet. */
export type WaitingClaim = Readonly<{
	replyId: number;
	requestId: RequestId;
	claim: Claim;
	/** Present to move the submission's own claim away from this place, which has confirmed the withdrawal. */
	from: Place | undefined;
}>;

export type ClaimResult =
	/** The claim in force, which may differ from the requested one. */
	| Readonly<{kind: 'held'; claim: Claim}>
	| Readonly<{kind: 'unavailable'; effect: 'not-written' | 'uncertain'}>;

/** Last known value of one key and the operation in progress for it. */
export type ClaimKeyState = Readonly<{
	/** Version of the last value read or written; 0 if no value was seen yet, which does not mean that the key does not exist. */
	version: number;
	book: ClaimBook;
	phase: 'idle' | 'writing' | 'reading' | 'waiting-for-lease';
	/** Claims of the write in progress or being read back. */
	inFlight: readonly WaitingClaim[];
	waiting: readonly WaitingClaim[];
	readBacks: number;
	conflicts: number;
	/** Whether an earlier write of the claims in flight may have taken effect. */
	isUncertain: boolean;
	usedAt: MonotonicTime;
}>;

export type ClaimLease =
	| Readonly<{kind: 'none'}>
	| Readonly<{kind: 'requested'; requestedAt: MonotonicTime}>
	| Readonly<{kind: 'held'; lease: string; grantedAt: MonotonicTime}>;

export type ClaimsState = Readonly<{keys: ReadonlyMap<string, ClaimKeyState>; lease: ClaimLease}>;

export type ClaimsMessage =
	| Readonly<{kind: 'claim'; waiting: WaitingClaim}>
	| Readonly<{kind: 'written'; key: string; version: number}>
	| Readonly<{kind: 'conflict'; key: string; version: number; book: ClaimBook}>
	| Readonly<{kind: 'write-failed'; key: string; effect: 'not-applied' | 'perhaps-applied'}>
	| Readonly<{kind: 'lease-unknown'; key: string}>
	/** For a key that does not exist, version 0 and no claims. */
	| Readonly<{kind: 'read'; key: string; version: number; book: ClaimBook}>
	| Readonly<{kind: 'read-failed'; key: string}>
	| Readonly<{kind: 'lease-granted'; lease: string}>
	| Readonly<{kind: 'lease-refused'}>
	| Readonly<{kind: 'tick'}>;

export type ClaimsEffect =
	| Readonly<{kind: 'write'; key: string; book: ClaimBook; expectedVersion: number; lease: string; added: number}>
	| Readonly<{kind: 'read'; key: string; attempt: number}>
	| Readonly<{kind: 'grant-lease'}>
	| Readonly<{kind: 'answer'; replyId: number; result: ClaimResult}>;
