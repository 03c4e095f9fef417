/** Interval at which an agent reports to each connected entry. */
export const reportIntervalMilliseconds = 2000;
/** Time without traffic after which a connection with unanswered calls is probed. */
export const probeIntervalMilliseconds = 1000;
/** Time without traffic after which a connection with unanswered calls is closed: three probe intervals. */
export const receiveTimeoutMilliseconds = 3 * probeIntervalMilliseconds;
/** Time without traffic after which an idle connection is closed: three report intervals. */
export const idleReceiveTimeoutMilliseconds = 3 * reportIntervalMilliseconds;
/** Maximum size of a message between processes; fits a configuration of 1 MB with its envelope. */
export const maximumMessageBytes = 2_000_000;
/** Time after which a reservation of gang members expires without a commit. */
export const reservationLeaseMilliseconds = 5000;
/** Time after which a committed or running gang expires without renewal. Exceeds the time another entry needs to adopt the job of a failed entry, so that the gang keeps running. */
export const gangLeaseMilliseconds = 30_000;
/** Interval at which the owner of a job renews its gang leases. */
export const gangRenewIntervalMilliseconds = 3000;
/** Time that an evicted borrower has for its checkpoint before it is stopped. */
export const reclaimGraceMilliseconds = 2000;
/** Interval at which the entry that opened a peer connection exchanges revisions and summaries over it. */
export const peerExchangeIntervalMilliseconds = 2000;
/** Bounds of the backoff before reconnecting to an unreachable entry. */
export const peerReconnectMinimumMilliseconds = 2000;
export const peerReconnectMaximumMilliseconds = 30_000;
/** Time for which an entry stays registered without renewal. */
export const entryLeaseMilliseconds = 10_000;
