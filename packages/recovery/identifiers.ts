import {
	hashText, type Finding, type RefusalReason, type RequestId, type Timestamp,
} from '#core';
import {claimPartitions, identifierClockSkewMilliseconds, identifierRetentionMilliseconds} from './constants.js';

export type IdentifierCheck =
	| Readonly<{kind: 'accepted'}>
	| Readonly<{kind: 'invalid'; finding: Finding}>
	| Readonly<{kind: 'refused'; reason: RefusalReason}>;

const millisecondsPerMinute = 60_000;

/**
Reads the timestamp of a UUID version 7 (RFC 9562): the first 48 bits are milliseconds since the Unix epoch.

@returns `undefined` for other UUID versions.
*/
export function readIdentifierTime(requestId: RequestId): Timestamp | undefined {
	return requestId[14] === '7' ? Number.parseInt(requestId.slice(0, 8) + requestId.slice(9, 13), 16) : undefined;
}

/** Checks the age of a non-idempotent request's identifier, because agents and claims retain identifiers for a bounded time. */
export function checkIdentifier(requestId: RequestId, now: Timestamp): IdentifierCheck {
	const time = readIdentifierTime(requestId);
	if (time === undefined) {
		return {kind: 'invalid', finding: {place: 'requestId', message: 'must be a UUID of version 7 where idempotent is false'}};
	}

	if (time < now - identifierRetentionMilliseconds) {
		return {kind: 'refused', reason: 'identifier-expired'};
	}

	return time > now + identifierClockSkewMilliseconds ? {kind: 'refused', reason: 'identifier-in-future'} : {kind: 'accepted'};
}

/**
Formats the store key of an identifier's claim. It depends on the identifier alone, so that every entry uses the same key.

@example
```
formatClaimKey('01890a5d-ac96-774b-bcce-b302099a8057');
//=> 'claims/28134934/3'
```
*/
export function formatClaimKey(requestId: RequestId): string {
	return `claims/${Math.floor((readIdentifierTime(requestId) ?? 0) / millisecondsPerMinute)}/${hashText(requestId) % claimPartitions}`;
}
