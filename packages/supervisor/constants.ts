/** How often the agent renews its grant with the scheduler. */
export const renewalIntervalMilliseconds = 500;
/** How often the agent sends renewals to the other entries, to detect broken connections, and looks up entries in the store while no scheduler is connected. */
export const standbyRenewalIntervalMilliseconds = 2000;
/** Timeout of attaching and of renewals; it closes the connection, so that a new one is opened. */
export const renewalTimeoutMilliseconds = 1300;
/** Delay before an unreachable entry is dialled again. */
export const redialDelayMilliseconds = 300;
/** An address is removed after this many consecutive failures, unless it is a seed. */
export const maximumDialFailures = 20;
/** Timeout of a start or stop call to the worker. */
export const workerCallTimeoutMilliseconds = 900;
/** Timeout of a lease extension beyond its long-poll wait. */
export const extensionMarginMilliseconds = 700;
