/** Oldest age at which a non-idempotent identifier is still accepted; agents and claims remember identifiers for longer. */
export const identifierRetentionMilliseconds = 600_000;
/** How far the caller's clock may run ahead. */
export const identifierClockSkewMilliseconds = 60_000;
/** Keys per minute over which claims are spread. */
export const claimPartitions = 16;
/**
Time to live of a lease under which claims are written, and how long a lease is used for new writes.
A claim therefore lives at least 20 minutes after its last write, which is longer than the retention of identifiers and the allowance for the caller's clock together.
*/
export const claimLeaseMilliseconds = 1_800_000;
export const claimLeaseReuseMilliseconds = 600_000;
/** Most claims in one key; at about 130 bytes each the value stays below 1 MB. */
export const maximumClaimsPerKey = 6000;
/** Most claims that may wait for one key. */
export const maximumWaitingClaims = 2000;
/** Attempts to read a key back after a write whose answer was lost. */
export const maximumReadBacks = 3;
/** Conflicting writes in a row before the claims that wait are refused. */
export const maximumClaimConflicts = 8;
/** Dispatches of one request, the first one included. */
export const maximumDispatches = 3;
/** Longest time that a request may take where the caller named no latest useful time. */
export const maximumRequestMilliseconds = 120_000;
