/** How long a call that waits for an end stays open; the worker allows 2 s. Each one extends the lease. */
export const extensionWaitMilliseconds = 1000;
/** Delay before a call that failed is tried again. */
export const extensionRetryMilliseconds = 250;
/** Pause between calls while the worker lists ends that are not stored yet; a store call and the way to the scheduler take 10 to 150 ms. */
export const unacknowledgedEndPauseMilliseconds = 150;
/** Worker clocks may be 2% slow, so a lease may last that much longer. */
export const maximumClockDriftRatio = 0.02;
/** A steady clock that fell this far behind the time of day has stood still, as it does while a machine is suspended. */
export const suspensionThresholdMilliseconds = 500;
/** Allowance for a lease that a late call extended. */
export const leaseExpiryMarginMilliseconds = 300;
