/** Maximum age at which a non-idempotent identifier is accepted. Agents and claims retain identifiers for longer. */
export const identifierRetentionMilliseconds = 600_000;
/** Maximum time by which a caller's clock may be ahead. */
export const identifierClockSkewMilliseconds = 60_000;
/** Number of store keys among which the claims of one minute are distributed. */
export const claimPartitions = 16;
/**
Time to live of a lease for claims, and how long the lease may be reused for new writes.
A claim therefore exists for at least 20 minutes after its last write, which exceeds the sum of identifier retention and permitted clock skew.
*/
export const claimLeaseMilliseconds = 1_800_000;
export const claimLeaseReuseMilliseconds = 600_000;
/** Maximum claims per key; at about 130 bytes each the value stays below 1 MB. */
export const maximumClaimsPerKey = 6000;
/** Maximum claims waiting for one key. */
export const maximumWaitingClaims = 2000;
/** Attempts to read a key back after the reply to a write was lost. */
export const maximumReadBacks = 3;
/** Maximum consecutive write conflicts before the claims in flight are refused. */
export const maximumClaimConflicts = 8;
/** Maximum number of dispatches of one request, including the first; a retry at the same place counts as one. */
export const maximumDispatches = 3;
/** Maximum duration of a request, also where the caller specified no `latestUsefulAt`. */
export const maximumRequestMilliseconds = 120_000;
