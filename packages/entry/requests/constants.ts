/** How long an ended request is found again: between one and two generations. */
export const generationMilliseconds = 300_000;
/** Bounds of one generation of ended requests; two are kept. */
export const maximumGenerationSize = 10_000;
export const maximumGenerationBytes = 8_000_000;
/** Retry time given where the entry has too many requests in flight. */
export const overloadRetryMilliseconds = 1000;
/** How long a look-up waits for the agent's next connection. */
export const findTimeoutMilliseconds = 5000;
/** Delay between two tries of a look-up. */
export const findRetryMilliseconds = 100;
/** How long a withdrawal waits for the agent's next connection. */
export const withdrawReconnectTimeoutMilliseconds = 2000;
/** How long one look-up or withdrawal may take. */
export const lookUpTimeoutMilliseconds = 2000;
/** Allowance on top of a request's deadline before its call counts as lost. */
export const callTimeoutMarginMilliseconds = 10_000;
/** How often claims that cannot be needed any more are forgotten. */
export const claimsPruneIntervalMilliseconds = 60_000;
/** Largest delay before a key is read back again; full jitter below it. */
export const maximumReadBackDelayMilliseconds = 500;
/** Window over which the bytes sent to other regions are limited. */
export const linkUsageWindowMilliseconds = 1000;
