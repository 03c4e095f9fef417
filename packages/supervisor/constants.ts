/** How often the agent renews its grant with the entry that schedules. */
export const renewalIntervalMilliseconds = 500;
/** How often the agent asks the other entries, which shows whether their connections still work. */
export const standbyRenewalIntervalMilliseconds = 2000;
/** A renewal without an answer for this time closes the connection, so that another one is opened. */
export const renewalTimeoutMilliseconds = 1300;
/** Delay before an entry that could not be reached is dialled again. */
export const redialDelayMilliseconds = 300;
/** An address that could not be reached this often in a row, and is no seed, is forgotten. */
export const maximumDialFailures = 20;
/** How long a start or a stop on the worker beside may take. */
export const workerCallTimeoutMilliseconds = 900;
/** Allowance on top of the wait of a call that waits for an end. */
export const extensionMarginMilliseconds = 700;
