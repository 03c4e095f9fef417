/** How long the lease of an entry lasts without renewal; a lost scheduler is replaced after that. */
export const entryLeaseMilliseconds = 2500;
/** Longest delay before a store call of an entry is tried again; there are few entries, and a store that returns is needed at once. */
export const storeRetryMaximumMilliseconds = 600;
/** How long one watch call waits; a connection that went silent is noticed after that, well within the time for a configuration to be in force (3 s). */
export const watchMilliseconds = 1500;
/** How often the scheduler looks for orders without an answer. */
export const schedulerTickMilliseconds = 250;
/** How long orders to agents may take. */
export const orderTimeoutMilliseconds = 1500;
/** How often entries tell each other their versions. */
export const exchangeIntervalMilliseconds = 700;
/** How long a call between entries may take. */
export const entryCallTimeoutMilliseconds = 900;
/** Delay before the progress of jobs is written after a failed write. */
export const progressRetryMilliseconds = 150;
/** Jobs in one transaction: the store takes 32 entries, two for each job and one for the leadership. */
export const maximumJobsPerTransaction = 15;
/** Ended jobs whose three records one transaction removes, within the same 32 entries. */
export const maximumRemovalsPerTransaction = 10;
/** Chosen delays before an entry tries to become the scheduler: a multiple of the store's answer time, so that an entry near the store wins, and a random part. */
export const electionLatencyFactor = 2;
export const electionJitterMilliseconds = 60;
/** Callers are asked to come back after this time when the store cannot be reached. */
export const storeRetryAfterMilliseconds = 1000;
/** Time that is kept for the answer's way to the caller. */
export const callerReplyMarginMilliseconds = 300;
