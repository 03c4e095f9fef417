/** An announcement that claims a later start than this after the present is not the worker's own; clocks of the machines differ by seconds. */
export const maximumStartAheadMilliseconds = 3_600_000;
/** An announcement with a number this far above the last one is not the worker's own; at the usual interval that takes over an hour. */
export const maximumSequenceGap = 3000;
/** How many ends of incarnations are kept while no scheduler can be reached; a worker that crashes again and again starts again every few seconds. */
export const maximumEndedIncarnations = 20;
/** How long lost runs are reported. A scheduler that is lost is replaced within seconds, and its successor waits up to 12 s for reports. */
export const lostRunRetentionMilliseconds = 60_000;
/** A worker that answers a call made this long after a start was not crashed by it, unless the start is carried out late. Calls may overtake each other by some milliseconds, and by more on a busy machine. */
export const startProbeMilliseconds = 250;
/** A start that crashes its worker at once silences it within this time, after which the call of the start counts as unanswered. */
export const immediateCrashMilliseconds = 900;
/** Long-poll timeout of a lease extension that waits for a run to end; the worker allows at most 2 s. Leases are extended once in this time, because each call extends them. */
export const extensionWaitMilliseconds = 1000;
/** Interval at which a worker that announced its departure is asked whether it is still there; it closes its port some milliseconds after the confirmation. */
export const departureCheckMilliseconds = 50;
/** Delay before a failed lease extension is retried. */
export const extensionRetryMilliseconds = 250;
/** Pause between lease extensions while the worker lists ended runs that are not stored yet; storing them and the round trip to the scheduler take 10 to 150 ms. */
export const unacknowledgedEndPauseMilliseconds = 150;
/** Worker clocks may run up to 2% slow, so a lease may last that much longer. */
export const maximumClockDriftRatio = 0.02;
/** If the monotonic clock falls behind the wall clock by more than this, the machine was suspended. */
export const suspensionThresholdMilliseconds = 500;
/** Margin after a lease's expiry for an extension that reached the worker late. */
export const leaseExpiryMarginMilliseconds = 300;
