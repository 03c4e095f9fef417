/** Time to live of an entry's lease. A scheduler whose machine is lost is replaced after it, and urgent work has about 1.6 s of slack; three renewals still fit, each of which takes up to 0.4 s while the store is slow. */
export const entryLeaseMilliseconds = 1500;
/** Maximum backoff of an entry's store calls; it is short because entries are few and need the store as soon as it recovers. */
export const storeRetryMaximumMilliseconds = 600;
/** Long-poll wait of a watch call. Without an answer after it, the connection counts as dead, well within the 3 s in which a configuration must be in force. */
export const watchMilliseconds = 1500;
/** Interval at which the scheduler checks for orders without a reply. */
export const schedulerTickMilliseconds = 250;
/** Shortest interval of the checks; each of them visits all jobs and runs, which takes 2.5 ms for 400 jobs on 100 workers. */
export const minimumTickMilliseconds = 20;
/** Delay of the scheduler's ticks that is reported as an overload: a third of the lease that it has to renew. */
export const overloadDelayMilliseconds = 500;
/** Shortest delay of a scheduling pass; the answers and reports of one moment share it. */
export const minimumPassDelayMilliseconds = 5;
/** Longest delay of a scheduling pass, so that urgent work is noticed in time on a slow machine. */
export const maximumPassDelayMilliseconds = 400;
/** Delay of a scheduling pass as a multiple of the duration of the last one; passes take at most a quarter of the processor. */
export const passDelayFactor = 3;
/** Timeout of orders to agents and of announcing the scheduler to them. */
export const orderTimeoutMilliseconds = 1500;
/** Interval at which entries exchange their configuration version and epoch. */
export const exchangeIntervalMilliseconds = 700;
/** Time that an entry leaves to the store's watch before it fetches a newer configuration from the entry that announced it: less than an interval of exchanges, so that the next announcement triggers it. */
export const configurationFetchDelayMilliseconds = 600;
/** Timeout of such a fetch. Compressed, the largest configuration takes 0.2 s on a link of 7 Mbit/s, and the store's watch may share the link. */
export const configurationFetchTimeoutMilliseconds = 3000;
/** Time after which an entry that is still behind lets the entry with the newer configuration answer callers. A change has to be in force within 3 s, and takes 1.3 s on a link of 7 Mbit/s if it is large. */
export const outdatedConfigurationMilliseconds = 1500;
/** A scheduler whose calls of the store have failed for this long looks for an entry that reaches it. Short, since no job starts meanwhile; a lost answer alone is followed by a successful call. */
export const outageBeforeHandOverMilliseconds = 300;
/** Interval at which the scheduler checks for such an outage. */
export const outageCheckIntervalMilliseconds = 100;
/** Delay before the other entries are asked again; while the store is down for all of them, each round asks every entry. */
export const successorRetryMilliseconds = 500;
/** Runs in a closed zone that operators are shown one by one. */
export const maximumShownRuns = 200;
/** Explanations that an entry handles. Each costs the scheduler a pass, and may not delay the work. */
export const explanationLimit = {perSecond: 1, burst: 1} as const;
/** Timeout of calls between entries. */
export const entryCallTimeoutMilliseconds = 900;
/** Delay before a failed write of the scheduler's records is retried. */
export const progressRetryMilliseconds = 150;
/** Jobs in one transaction: the store accepts 32 operations, two for each job and one for the leader record. */
export const maximumJobsPerTransaction = 15;
/** Ended jobs, with three records and one condition each, that one transaction removes within the same limit of 32. */
export const maximumRemovalsPerTransaction = 7;
/** Delay before an entry campaigns: a multiple of the store's latency, so that an entry near the store wins, plus jitter. */
export const electionLatencyFactor = 2;
export const electionJitterMilliseconds = 60;
/** Further delay before an entry with one usual core campaigns; inversely proportional to its processor. */
export const electionProcessorMilliseconds = 60;
/** Longest of these delays, so that the weakest machines still replace a lost scheduler soon. */
export const maximumElectionProcessorMilliseconds = 300;
/** Delay after which callers are asked to retry while the store is unavailable. */
export const storeRetryAfterMilliseconds = 1000;
/** Part of a caller's timeout that is reserved for sending the answer, up to a limit; a last attempt often leaves 0.2 s, in which the store still answers. */
export const callerReplyMarginShare = 0.3;
export const maximumCallerReplyMarginMilliseconds = 300;
/** Jobs that an entry withdraws in a second, and at once. With 12 entries, 9,000 records are retained at most, which a new scheduler reads in 18 pages. */
export const withdrawalLimit = {perSecond: 5, burst: 60} as const;
/** Refusal records that an entry writes in a second, and at once, for submissions whose write got no answer. With 14 entries, 23,000 records are retained at most; while 5% of the answers are lost, the limit is met by 200 submissions a second. */
export const refusalRecordLimit = {perSecond: 10, burst: 150} as const;
/** How long records of refused and withdrawn jobs are retained, as long as those of ended jobs. A copy of a submission that is processed later than that is taken for a new one. */
export const refusalRetentionMilliseconds = 150_000;
/** Refusal and withdrawal records that one transaction removes: one condition and one removal for each, and the leader record, of 32. */
export const maximumRefusalRemovals = 15;
/** How old the measured memory of the own scheduler may be when a job is accepted; measuring visits all jobs. */
export const memoryUseValidityMilliseconds = 250;
/** Shortest interval at which the scheduler's load is forecast. */
export const forecastIntervalMilliseconds = 250;
/** Longest interval, so that other entries always have a forecast that is valid. */
export const maximumForecastIntervalMilliseconds = 1000;
/** Interval of forecasts as a multiple of the duration of the last one; they take at most a twentieth of the processor. */
export const forecastIntervalFactor = 20;
/** Time after which the scheduler's report includes a job that another entry accepted. */
export const acceptanceVisibleMilliseconds = 2000;
/** How long an admitted job counts at most that the own scheduler has not received: longer than its submission may take. */
export const admissionRetentionMilliseconds = 5000;
/** Tenants that the scheduler reports to the other entries, those that need most memory. */
export const maximumSharedTenants = 50;
