/** Age at which a generation of ended requests is replaced. An ended request is retained for one to two generations. */
export const generationMilliseconds = 300_000;
/** Limits of one generation of ended requests; two generations are retained. */
export const maximumGenerationSize = 10_000;
export const maximumGenerationBytes = 8_000_000;
/** Retry delay returned to callers while a limit of requests in flight is reached. */
export const overloadRetryMilliseconds = 1000;
/** Total time for finding a dispatch at an agent, including the wait for its next connection. */
export const findTimeoutMilliseconds = 5000;
/** Delay between two queries of the agent while a dispatch is being found. */
export const findRetryMilliseconds = 100;
/** How long a withdrawal waits for the agent's next connection. */
export const withdrawReconnectTimeoutMilliseconds = 2000;
/** Timeout of one call that queries or withdraws a request. */
export const queryTimeoutMilliseconds = 2000;
/** Margin after a request's deadline before the call that carries it counts as lost. */
export const callTimeoutMarginMilliseconds = 10_000;
/** Interval at which claims that are no longer needed are removed from memory. */
export const claimsPruneIntervalMilliseconds = 60_000;
/** Maximum delay before a key is read back again, with full jitter. */
export const maximumReadBackDelayMilliseconds = 500;
/** Length of the window in which the bytes exchanged with other regions by forwarding are limited. */
export const linkUsageWindowMilliseconds = 1000;
