/** How long a call of the store may take. */
export const storeTimeoutMilliseconds = 2000;
/** How long one watch call waits for events. */
export const watchWaitMilliseconds = 20_000;
/** Allowance on top of the wait of a watch before the call counts as lost. */
export const watchMarginMilliseconds = 2000;
/** Largest value, in bytes. */
export const maximumValueBytes = 1_000_000;
export const maximumStoreConnections = 8;
/** Bounds of the backoff after a failed call; full jitter spreads the callers when the store returns. */
export const storeBackoffMinimumMilliseconds = 200;
export const storeBackoffMaximumMilliseconds = 5000;
