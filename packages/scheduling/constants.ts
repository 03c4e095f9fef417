import {bytesPerTask, memoryBudgetBytes} from '#jobs';

/** How long an agent keeps the runs on its worker alive after the scheduler's last grant. Longer than the network interruptions of single machines that the platform announces (5.5 s). */
export const grantValidityMilliseconds = 7500;
/** Factor by which a worker's clock may be slower than the scheduler's, according to the platform's description of its workers. */
export const slowClockFactor = 1.02;
/** Allowance for the delivery of a grant and a lease, added to the validity. */
export const grantSlackMilliseconds = 400;
/** How long a scheduler that cannot reach the store still issues grants. Together with the validity of a grant this outlasts the usual outages of the store. */
export const unconfirmedLeadershipMilliseconds = 4000;
/** How long a worker that has not listed all its runs to this scheduler may continue those of an earlier one. */
export const unreadMilliseconds = unconfirmedLeadershipMilliseconds + (grantValidityMilliseconds * slowClockFactor) + grantSlackMilliseconds;
/** Range of run numbers per epoch: those of epoch n start above n - 1 times this number, so that they increase although a new scheduler does not know the last one. */
export const runsPerEpoch = 1000;
/** Time after which an unanswered start that the worker does not list is stopped and retried. */
export const startConfirmationMilliseconds = 1200;
/** The same in a closed zone. Sooner, so that a start that was delayed on its way is not carried out after the 5 s within which a closing has to take effect: an entry may learn of it 2.8 s late over a connection that went silent. */
export const closedZoneConfirmationMilliseconds = 400;
/** How long a closed zone is known before it is logged that no worker names it; agents report twice a second. */
export const unnamedZoneLogMilliseconds = 5000;
/** How long a worker counts as unstable after one beside its agent left, was replaced or announced that it leaves. */
export const departureMemoryMilliseconds = 60_000;
/** Agents that are remembered as unstable, so that a zone that leaves does not fill the memory: a tenth of the largest pool. */
export const rememberedDepartures = 430;
/** Longest lease that the platform's workers grant. */
export const maximumLeaseMilliseconds = 10_000;
/** Longest time until an order has reached its agent, with the report that answers it: a renewal that gets no answer fails earlier, with the connection. */
export const orderDeliveryMilliseconds = 2000;
/** Time after which a stop is ordered again if the end of the run is not listed. */
export const stopRetryMilliseconds = 1000;
/** Time without progress after which a run counts as stuck. Slow workers take up to 1 s for one percent of usual work. */
export const stuckMilliseconds = 3500;
/** A run may go without progress for this multiple of the time that an earlier percent took on average. */
export const stuckPercentFactor = 6;
/** A task is given up after this many workers crashed at its start. The platform counts further starts from the third crash on, and permits to give up after two; a third one makes chance unlikely. */
export const maximumCrashesAtStart = 3;
/** A task is given up after this many workers crashed under it, whatever progress it had made: the platform permits two starts after the third crash. */
export const maximumCrashes = 5;
/** A task whose run made progress for this long is sound: other causes of a crash become more likely with time, and long-running work outlives many workers. */
export const soundRunMilliseconds = 30_000;
/** How long a task that may have crashed a worker waits for an idle one, so that it takes no other runs along. */
export const isolationMilliseconds = 2000;
/** A worker is avoided after this many different jobs failed there in a row. */
export const failuresBeforeAvoidance = 2;
/** How long a failing worker is avoided before it is used again. The platform's disturbances last 4 to 7 s. */
export const avoidanceMilliseconds = 4000;
/** How long a task avoids a worker on which it failed, got stuck or was not confirmed to have started. The platform's disturbances last 4 to 7 s; without an end, the task would wait for others although only this worker has room. */
export const taskAvoidanceMilliseconds = 7000;
/** How many workers a task prefers not to return to; bounds its state when starts stay unanswered for days. */
export const rememberedAvoidances = 16;
/** How long a worker that refused a start gets no other one, unless it reported that it is unhealthy. */
export const refusalPauseMilliseconds = 400;
/** How much longer gangs take in several racks, and tasks away from the rack of their data, according to the platform. */
export const remoteRackFactor = 3;
/** Longest time that work within a guarantee waits for a rack: it may preempt there after 0.9 s, and then elsewhere, where a stop takes up to 0.9 s; it has to start within 2.7 s. */
export const guaranteedRackWaitMilliseconds = 1300;
/** The loss is negligible if a run that cannot save its progress is stopped before it has run for this long. Such a run may be preempted without a wait. */
export const negligibleLossMilliseconds = 1500;
/** How long work within a guarantee waits for other runs to end before it stops work that cannot save its progress. It has to start within 2.9 s of its acceptance, and a stop takes up to 0.9 s. */
export const preemptionDelayMilliseconds = 900;
/**
Work beyond a guarantee may discard at most this multiple of its own work in order to start; `urgent` applies to priority 0.

Discarded work is repeated in a full pool, where it delays other jobs. In trials, a factor of three for urgent work cost more than it gained.
*/
export const affordableLossFactors = {urgent: 1, other: 0.3} as const;
/** Approximate share of its full value that a late job still earns; it may discard correspondingly less. */
export const lateValueShare = 0.25;
/** Share of a job's slack after which its work beyond a guarantee may stop runs whose loss is not negligible. Until then other runs may end by themselves. */
export const atRiskSlackShare = 0.5;
/** A run that ends within this time frees its resources as soon as a stop would: workers take 0.4 to 0.9 s to stop. */
export const endingSoonMilliseconds = 600;
/** Progress older than this does not show that a run ends soon. Agents report twice a second. */
export const freshProgressMilliseconds = 1000;
/** Additional loss, in core-seconds, that is accepted to keep preempting work in one rack. Spread over racks it takes three times as long and ends late. */
export const rackPreferenceCoreSeconds = 1800;
/** How much longer than announced a draining worker is expected to stay. Runs that end by then are not stopped. */
export const drainSlackMilliseconds = 1500;
/** A gang that waited this long reserves the workers that it needs, so that later units do not take them. */
export const reservationDelayMilliseconds = 1000;
/** At low utilization, workers are reserved for a gang only if it is expected to start within this time. Other work may find no place meanwhile, and the platform looks for such work 14 s after the last submission. */
export const maximumReservationMilliseconds = 10_000;
/** Ranks with a larger number than this are low. Their work that cannot save its progress is limited to a share of the workers, since its duration is unknown and a stop discards it. */
export const lowRankThreshold = 2;
/** Share of the workers for low-rank work that cannot save its progress; the others stay available to more urgent work. */
export const lowRankWorkerShare = 0.6;
/** Tasks that take at least this multiple of the median over all jobs are long. A few jobs take seven times as long as others of their kind. */
export const longTaskFactor = 2;
/** Share of the workers for long tasks of a low rank that cannot save their progress, so that they do not block short work. */
export const longTaskWorkerShare = 0.2;
/** Utilization below which a job without runs may exceed its rank's share of workers. The users count a job as lost if nothing of it runs while less than half of the pool is in use. */
export const lowUtilizationShare = 0.6;
/** Wide low-rank work that cannot save its progress starts with this many tasks, about the capacity of one worker, until their pace shows how long it takes. */
export const probeTaskCount = 8;
/** How long a job for which no runs could be preempted waits before the next search, for each worker of the pool, since a search visits all of them. */
export const preemptionRetryMillisecondsPerWorker = 1.25;
/** Longest wait before the next search. A guarantee leaves 2.9 s, in which the search is repeated several times. */
export const maximumPreemptionRetryMilliseconds = 400;
/** How long room stays claimed after runs were stopped for it. A stop takes up to 0.9 s, and a guarantee leaves 2.9 s for another attempt. */
export const claimMilliseconds = 1200;
/** Lowest rank of urgent work; ranks with a larger number have slack. */
export const lowestUrgentRank = 1;
/** Additional cost, in core-seconds, of stopping urgent work: about what callers pay for it on time in relation to the price of discarded work. */
export const urgentVictimCoreSeconds = 4000;
/** Additional cost, in core-seconds, of stopping a long-running task: more than any other run loses, so that such a stop comes last. */
export const longRunningVictimCoreSeconds = 1_000_000;
/** How often work beyond a guarantee may stop the same task, so that its job eventually ends; urgent work may stop a task that saves its progress more often. */
export const maximumPreemptions = 1;
/** Interval at which checkpoints of runs are stored. Workers create one for each 0.5 to 2 s of work, and one write holds those of 15 jobs. */
export const checkpointStoreMilliseconds = 2000;
/** How long the records of an ended job are retained. The platform requires 120 s. */
export const endedJobRetentionMilliseconds = 150_000;
/** Tasks that the scheduler holds in memory over all jobs: 40 MB of the 96 MB that an entry's heap may take, and twice as many as the largest job has. */
export const maximumOpenTasks = Math.floor(memoryBudgetBytes / bytesPerTask);
/** Tasks that one pass adds to them, unless a single occurrence has more. Each takes 15 us, and the entry renews its lease of 1.5 s between the passes. */
export const maximumOpenedPerPass = 5000;
/** Jobs of more tasks store those that are done as ranges: the store takes values of up to 1 MB, and each listed task takes 30 bytes. */
export const maximumListedTasks = 1000;
/** How long before its due time an occurrence may start. */
export const earlyStartMilliseconds = 50;
/** Interval at which the paces of runs are sampled. Agents report twice a second, and short tasks take 3 s. */
export const paceSampleMilliseconds = 1000;
/** Ended runs whose pace is kept until the next sample. */
export const maximumEndedPaces = 1000;
/** Interval at which the reason why a job waits is logged. */
export const waitingLogMilliseconds = 2000;
/** Maximum number of waiting units that are logged in one pass, so that a full pool does not flood the logs. */
export const maximumWaitingLogs = 20;
