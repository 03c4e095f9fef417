import type {
	Milliseconds, RefusalReason, RequestId, Timestamp,
} from '#core';

const versionPosition = 14;
const timestampDigits = 12;

/**
Reads the time at which a caller made a UUIDv7 identifier.

@returns Undefined for a UUID of another version.

@example
```
readIdentifierTime('01890a5d-ac96-774b-bcce-b302099a8057' as RequestId);
//=> 1688142556310
```
*/
export function readIdentifierTime(requestId: RequestId): Timestamp | undefined {
	return requestId[versionPosition] === '7'
		? Number.parseInt(requestId.replaceAll('-', '').slice(0, timestampDigits), 16)
		: undefined;
}

/** Bounds within which the agent can tell whether it has seen an identifier. */
export type IdentifierBounds = Readonly<{retentionMilliseconds: Milliseconds; toleranceMilliseconds: Milliseconds}>;

/** Refuses the identifier of a non-idempotent request that is too old to be in the ledger, too far ahead, or without a time. */
export function checkIdentifier(requestId: RequestId, now: Timestamp, bounds: IdentifierBounds): RefusalReason | undefined {
	const madeAt = readIdentifierTime(requestId);
	if (madeAt === undefined) {
		return 'invalid-request';
	}

	if (madeAt < now - bounds.retentionMilliseconds) {
		return 'identifier-expired';
	}

	return madeAt > now + bounds.toleranceMilliseconds ? 'identifier-in-future' : undefined;
}
