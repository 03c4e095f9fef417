/** How long the members of a gang may take to be reserved; less than a reservation lease, which includes the grace of borrowers. */
export const reserveTimeoutMilliseconds = 4500;
/** How long commits, starts and adoptions may take; less than a gang lease. */
export const stepTimeoutMilliseconds = 6000;
/** An unanswered call to an agent is made again after this time. */
export const resendDelayMilliseconds = 500;
export const callTimeoutMilliseconds = 2000;
/** A stop may take the grace of a checkpoint before it is answered. */
export const stopTimeoutMilliseconds = 5000;
/** Allowance for messages on the way when waiting for the lease of an agent that does not answer. */
export const leaseExpiryMarginMilliseconds = 5000;
/** Bounds of the backoff of placements and store writes. */
export const minimumBackoffMilliseconds = 100;
export const maximumBackoffMilliseconds = 5000;
/** Requests for placement that arrive within this time are placed together, in order of urgency and age. */
export const placementBatchDelayMilliseconds = 20;
/** How long concluded jobs are answered from memory, and how many of them. */
export const concludedRetentionMilliseconds = 600_000;
export const maximumConcludedJobs = 10_000;
/** How often an entry looks for jobs whose owner is gone; the delay is spread over half of it. */
export const adoptionIntervalMilliseconds = 2000;
/** Rounds after which the whole zone is searched again, also for owners that vanished while nobody watched. */
export const fullSearchIntervalRounds = 30;
/** Jobs that one entry adopts per round. */
export const maximumAdoptionsPerRound = 50;
/** An owner has to be missing in this many rounds, so that entries can register again after an outage of the store. */
export const minimumMissingRounds = 2;
/** Waiting jobs that are placed again at once when a job ends. */
export const maximumWokenJobs = 50;
/** How long a caller that cancels a job waits for its end before it is told that cancellation is under way. */
export const cancelTimeoutMilliseconds = 4000;
/** Attempts to learn what became of a write whose answer was lost. */
export const maximumWriteAttempts = 3;
