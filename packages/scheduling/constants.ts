/** How long an agent keeps what runs on its worker alive after the scheduler's last grant. Longer than the cuts of single machines that the platform announces (5.5 s). */
export const grantValidityMilliseconds = 7500;
/** A worker's clock may be this much slower than the scheduler's, from the platform's description of its workers. */
export const slowClockFactor = 1.02;
/** Allowance for the delivery of a grant and a lease on top of the validity. */
export const grantSlackMilliseconds = 400;
/** How long a scheduler that cannot reach the store still gives grants; with the validity of a grant it outlasts the store's usual outages. */
export const unconfirmedLeadershipMilliseconds = 4000;
/** Numbers of runs start at this multiple of the epoch, so that they rise although a new scheduler does not know the last one. */
export const runsPerEpoch = 1000;
/** A start without an answer that the worker does not list after this time is stopped and tried again. */
export const startConfirmationMilliseconds = 1200;
/** A stop whose end is not listed after this time is ordered again. */
export const stopRetryMilliseconds = 1000;
/** A run without progress for this time counts as stuck. Slow workers take up to 1 s for a percent of usual work. */
export const stuckMilliseconds = 3500;
/** A run may be quiet for this many times as long as its earlier percents took. */
export const stuckPercentFactor = 6;
/** A worker on which this many jobs failed in a row is avoided. */
export const failuresBeforeAvoidance = 2;
/** How long a failing worker is avoided before it is tried again; the platform's disturbances last 4 to 7 s. */
export const avoidanceMilliseconds = 4000;
/** How long a worker that refused a start for want of room or of health gets no other. */
export const refusalPauseMilliseconds = 400;
/** A gang waits for one rack, or a task for the rack of its data, for this share of its estimated duration; elsewhere it takes three times as long. */
export const rackWaitShare = 1;
/** Urgent work within a guarantee waits no longer than this for a rack, since its start has a deadline. */
export const guaranteedRackWaitMilliseconds = 500;
/** Work that cannot save its progress is preempted by urgent work over the guarantee only while it has lost less than this. */
export const negligibleLossMilliseconds = 1500;
/** Work within a guarantee waits this long for others to end before it stops work that cannot save its progress. It has to start within 2.9 s of its acceptance, and a stop takes up to 0.9 s. */
export const preemptionDelayMilliseconds = 900;
/**
Work may throw away at most this many times its own work to start.

Work that is thrown away is done again in a full pool, where it delays others. In trials three times its own work for urgent jobs cost more than it gained.
*/
export const affordableLossFactors = {urgent: 1, other: 0.3} as const;
/** A late job earns about this share of its full worth, and may throw away so much less. */
export const lateValueShare = 0.25;
/** Work beyond a guarantee stops what is not cheap only after this share of the time that it may wait, since others may end meanwhile. */
export const atRiskSlackShare = 0.5;
/** A run that ends within this time frees its room as soon as a stop would; workers take 0.4 to 0.9 s to stop. */
export const endingSoonMilliseconds = 600;
/** Progress older than this does not show that a run ends soon; agents report twice a second. */
export const freshProgressMilliseconds = 1000;
/** Work, in core-seconds, that is worth throwing away to keep urgent work in one rack: elsewhere it takes three times as long and ends late. */
export const rackPreferenceCoreSeconds = 1800;
/** A worker that leaves may stay this much longer than it says, so that runs which end by then are left alone. */
export const drainSlackMilliseconds = 1500;
/** Wide work that waited this long keeps younger work of its rank from the workers it needs. */
export const reservationDelayMilliseconds = 1000;
/** Work of this rank and above that cannot save its progress keeps to a share of the workers, since nobody knows how long it lasts and stopping it throws it away. */
export const lowestUrgentRank = 2;
/** The share; the others stay open to more urgent work. */
export const lowRankWorkerShare = 0.6;
/** Tasks that take this many times as long as those of the median job are long. A few jobs take seven times as long as others of their kind. */
export const longTaskFactor = 2;
/** Share of the workers to which long tasks of a low rank keep that cannot save their progress, so that short work is not blocked behind them. */
export const longTaskWorkerShare = 0.2;
/** Below this share of use the pool counts as mostly free: a job must not wait there for its rank's share of workers. The users count a job as lost that has nothing running while under half of the pool is in use. */
export const lowUtilizationShare = 0.6;
/** Wide work of a low rank that cannot save its progress starts with this many tasks, about one worker's room, until their pace shows how long it takes. */
export const probeTaskCount = 8;
/** Work beyond a guarantee stops a task at most this often, so that its job ends some time. */
export const maximumPreemptions = 1;
/** How often checkpoints of runs are stored. Workers make one with each 0.5 to 2 s of work, and a write holds those of 15 jobs. */
export const checkpointStoreMilliseconds = 2000;
/** How long the records of an ended job are kept. The platform asks for 120 s. */
export const endedJobRetentionMilliseconds = 150_000;
/** Occurrences start at most this much before they are due. */
export const earlyStartMilliseconds = 50;
/** How often the logs tell why a job waits. */
export const waitingLogMilliseconds = 2000;
/** Most such lines of one pass, so that a full pool does not fill the logs. */
export const maximumWaitingLogs = 20;
