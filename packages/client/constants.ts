/** Maximum number of attempts of one submission, including the first. */
export const maximumAttempts = 4;
/** Bounds of the backoff between attempts. */
export const clientBackoffMinimumMilliseconds = 100;
export const clientBackoffMaximumMilliseconds = 5000;
/** Timeout of one attempt of a request, including queueing and execution. */
export const requestAttemptTimeoutMilliseconds = 130_000;
/** Timeout of a call that does not wait for work to run. */
export const callTimeoutMilliseconds = 5000;
export const maximumClientConnections = 64;
