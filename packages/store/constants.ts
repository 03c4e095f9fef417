/** How long a call of the store may take. */
export const storeTimeoutMilliseconds = 2000;
/** How long one watch call waits for events. */
export const watchWaitMilliseconds = 20_000;
/** Allowance on top of the wait of a watch before the call counts as lost. */
export const storeWatchMarginMilliseconds = 2000;
/** Largest value, in bytes. */
export const maximumValueBytes = 1_000_000;
export const maximumStoreConnections = 8;
/** Bounds of the backoff after a failed call; full jitter spreads the callers when the store returns. */
export const storeBackoffMinimumMilliseconds = 200;
export const storeBackoffMaximumMilliseconds = 5000;
/** Share of a lease's time to live after which it is renewed; two renewals may fail before it lapses. */
export const leaseRenewalFraction = 1 / 3;
/** Renewals of many holders are spread by this share of the interval in both directions. */
export const leaseRenewalJitterFraction = 0.2;
/** Share of a lease's time to live that is given up for clocks that run at different rates. */
export const leaseClockMarginFraction = 0.02;
