/** Timeout of a call to the store. */
export const storeTimeoutMilliseconds = 2000;
/** Duration for which the store holds a watch call while there are no events. */
export const watchWaitMilliseconds = 20_000;
/** Added to the long-poll duration for the timeout of a watch call. */
export const storeWatchMarginMilliseconds = 2000;
/** Size limit of a stored value. */
export const maximumValueBytes = 1_000_000;
export const maximumStoreConnections = 8;
/** Base and upper bound of the exponential backoff after a failed call. Full jitter spreads the callers when the store becomes available again. */
export const storeBackoffMinimumMilliseconds = 200;
export const storeBackoffMaximumMilliseconds = 5000;
/** Fraction of a lease's time to live after which it is renewed; two renewals may fail before it lapses. */
export const leaseRenewalFraction = 1 / 3;
/** Jitter of the renewal interval in both directions; spreads the renewals of many holders. */
export const leaseRenewalJitterFraction = 0.2;
/** Fraction of a lease's time to live that the holder does not use, since clocks run at different rates. */
export const leaseClockMarginFraction = 0.02;
