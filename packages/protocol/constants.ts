/** How often an agent reports to each entry it is connected to. */
export const reportIntervalMilliseconds = 2000;
/** A connection with unanswered calls is probed after this time without traffic. */
export const probeIntervalMilliseconds = 1000;
/** A connection with unanswered calls is closed after this time without traffic: three probe intervals. */
export const receiveTimeoutMilliseconds = 3 * probeIntervalMilliseconds;
/** An idle connection is closed after this time without traffic: three report intervals. */
export const idleReceiveTimeoutMilliseconds = 3 * reportIntervalMilliseconds;
/** Largest message between processes, in bytes; a configuration of 1 MB with its envelope fits. */
export const maximumMessageBytes = 2_000_000;
/** How long a reservation of gang members holds without a commit. */
export const reservationLeaseMilliseconds = 5000;
/** How long a committed or running gang holds without a renewal. Longer than it takes another entry to adopt the job of one that died, so that the gang runs on. */
export const gangLeaseMilliseconds = 30_000;
/** How often the owner of a job renews its gang leases. */
export const gangRenewIntervalMilliseconds = 3000;
/** How long an evicted borrower may take for its checkpoint before it is stopped. */
export const reclaimGraceMilliseconds = 2000;
/** How often the entry that opened a connection to another one exchanges revisions and summaries over it. */
export const peerExchangeIntervalMilliseconds = 2000;
/** Bounds of the delay before an entry that could not be reached is dialled again. */
export const peerReconnectMinimumMilliseconds = 2000;
export const peerReconnectMaximumMilliseconds = 30_000;
/** How long an entry stays registered without renewal. */
export const entryLeaseMilliseconds = 10_000;
