/** How long the fencing number of a job is kept after its last message. A sender that was paused for longer holds no lease of its own any more. */
export const fenceRetentionMilliseconds = 86_400_000;
/** How long the end of a gang can be asked for. */
export const endedRetentionMilliseconds = 600_000;
/** A stop that the worker has not confirmed is asked for again after this time. */
export const stopRetryMilliseconds = 1000;
/** An end that no entry has acknowledged is told again after this time. */
export const notificationRetryMilliseconds = 2000;
/** How often leases, graces and repetitions are checked. */
export const reservationTickMilliseconds = 250;
/** A sender that meets a member which is being stopped asks again after this time. */
export const reclaimRetryMilliseconds = 250;
