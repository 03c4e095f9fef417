import type {
	Milliseconds, RefusalReason, RequestId, Timestamp,
} from '#core';

const versionPosition = 14;
const timestampDigits = 12;

/**
Reads the creation time that a UUIDv7 identifier contains.

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

/** Range of creation times, relative to now, for which the agent knows whether it has seen an identifier. */
export type IdentifierBounds = Readonly<{retentionMilliseconds: Milliseconds; toleranceMilliseconds: Milliseconds}>;

/** Returns why the identifier of a non-idempotent request is refused: it is older than the ledger's retention, too far in the future, or has no timestamp. */
export function checkIdentifier(requestId: RequestId, now: Timestamp, bounds: IdentifierBounds): RefusalReason | undefined {
	const createdAt = readIdentifierTime(requestId);
	if (createdAt === undefined) {
		return 'invalid-request';
	}

	if (createdAt < now - bounds.retentionMilliseconds) {
		return 'identifier-expired';
	}

	return createdAt > now + bounds.toleranceMilliseconds ? 'identifier-in-future' : undefined;
}
