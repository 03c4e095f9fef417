import type {
	Incarnation, MonotonicTime, Place, RequestId, WorkerId, ZoneName,
} from '#core';

/** The stored binding of a non-idempotent request to the one place that may run it. */
export type Claim = Readonly<{
	place: Place;
	zone: ZoneName;
	/**
	Names the run of the request that wrote it, unique over all entries; only this run may move the claim.

	A later run in the same entry is no owner: an agent may have run the identifier and forgotten it since.
	*/
	owner: string;
}>;

export type ClaimBook = ReadonlyMap<RequestId, Claim>;

/** Claims as they are stored under one key. */
export type ClaimValue = Readonly<{claims: Readonly<Record<string, Readonly<{worker: WorkerId; incarnation: Incarnation; zone: ZoneName; owner: string}>>>}>;

/** A request that waits for its claim. */
export type WaitingClaim = Readonly<{
	replyId: number;
	requestId: RequestId;
	claim: Claim;
	/** Set to move the own claim away from this place, which has confirmed the withdrawal. */
	from: Place | undefined;
}>;

export type ClaimResult =
	/** The claim in force, which may be another one than was asked for. */
	| Readonly<{kind: 'held'; claim: Claim}>
	| Readonly<{kind: 'unavailable'; effect: 'not-written' | 'uncertain'}>;

/** What is known about one key, and what is under way for it. */
export type ClaimKeyState = Readonly<{
	/** Version of the last value seen; 0 if none was. */
	version: number;
	book: ClaimBook;
	phase: 'idle' | 'writing' | 'reading' | 'waiting-for-lease';
	/** Claims of the write under way, or of the one that is read back. */
	inFlight: readonly WaitingClaim[];
	waiting: readonly WaitingClaim[];
	readBacks: number;
	conflicts: number;
	/** An earlier write of the claims in flight may have taken effect. */
	isUncertain: boolean;
	usedAt: MonotonicTime;
}>;

export type ClaimLease =
	| Readonly<{kind: 'none'}>
	| Readonly<{kind: 'asked'; requestedAt: MonotonicTime}>
	| Readonly<{kind: 'held'; lease: string; grantedAt: MonotonicTime}>;

export type ClaimsState = Readonly<{keys: ReadonlyMap<string, ClaimKeyState>; lease: ClaimLease}>;

export type ClaimsMessage =
	| Readonly<{kind: 'claim'; waiting: WaitingClaim}>
	| Readonly<{kind: 'written'; key: string; version: number}>
	| Readonly<{kind: 'conflict'; key: string; version: number; book: ClaimBook}>
	| Readonly<{kind: 'write-failed'; key: string; effect: 'not-applied' | 'perhaps-applied'}>
	| Readonly<{kind: 'lease-unknown'; key: string}>
	/** Version 0 and no claims for a key that does not exist. */
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
