/** Time for all agents of a gang to reserve; shorter than a reservation lease, which includes the grace period of borrowers. */
export const reserveTimeoutMilliseconds = 4500;
/** Time for all agents of a gang to commit, start or answer for an adopted gang; shorter than a gang lease. */
export const stepTimeoutMilliseconds = 6000;
/** Delay before an unanswered call to an agent is repeated. */
export const resendDelayMilliseconds = 500;
export const callTimeoutMilliseconds = 2000;
/** Longer than other calls, because an agent may wait for the grace period of a checkpoint before it answers a stop. */
export const stopTimeoutMilliseconds = 5000;
/** Added for messages in transit when waiting for the lease of an unresponsive agent to expire. */
export const leaseExpiryMarginMilliseconds = 5000;
/** Backoff of placements and store writes: minimum delay, and maximum of the random delay added to it. */
export const minimumBackoffMilliseconds = 100;
export const maximumBackoffMilliseconds = 5000;
/** Placement requests that arrive within this time are placed in one batch, ordered by urgency and age. */
export const placementBatchDelayMilliseconds = 20;
/** Age and number up to which concluded jobs are kept in memory to answer queries. */
export const concludedRetentionMilliseconds = 600_000;
export const maximumConcludedJobs = 10_000;
/** Mean interval between rounds of the check for missing owners; jitter varies it by a quarter in both directions. */
export const adoptionIntervalMilliseconds = 2000;
/** Rounds between searches for jobs while no owner is known to be missing; these find the jobs of owners that this entry never saw registered. */
export const fullSearchIntervalRounds = 30;
/** Limit on jobs that one entry adopts per round. */
export const maximumAdoptionsPerRound = 50;
/** Consecutive rounds in which an owner has to be missing before its jobs are adopted, so that entries can register again after a store outage. */
export const minimumMissingRounds = 2;
/** Waiting jobs that retry placement at once when a job ends, without waiting for their backoff. */
export const maximumWokenJobs = 50;
/** How long a cancel request waits for the job to end before it is answered with 202 Accepted. */
export const cancelTimeoutMilliseconds = 4000;
/** Attempts at a write whose answer was lost; a repeated write reveals whether an earlier one took effect. */
export const maximumWriteAttempts = 3;
