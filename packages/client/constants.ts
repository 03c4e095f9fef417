/** Attempts of one submission, the first one included. */
export const maximumAttempts = 4;
/** Bounds of the backoff between attempts. */
export const clientBackoffMinimumMilliseconds = 100;
export const clientBackoffMaximumMilliseconds = 5000;
/** How long one attempt of a request may take, queueing and work included. */
export const requestAttemptTimeoutMilliseconds = 130_000;
/** How long a short call may take. */
export const callTimeoutMilliseconds = 5000;
export const maximumClientConnections = 64;
