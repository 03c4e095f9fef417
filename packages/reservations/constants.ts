/** Retention of a job's fencing number after the last new reservation, start, stop or end of its gang, and in any case while a record of the gang exists. A sender that was paused for longer no longer holds a lease of its own. */
export const fenceRetentionMilliseconds = 86_400_000;
/** Retention of an ended gang, during which its end can be queried. */
export const endedRetentionMilliseconds = 600_000;
/** Delay before a stop that the worker has not confirmed is sent again. */
export const stopRetryMilliseconds = 1000;
/** Delay before a notification that no entry has acknowledged is sent again. */
export const notificationRetryMilliseconds = 2000;
/** Interval at which leases, grace periods and overdue retries are checked. */
export const reservationTickMilliseconds = 250;
/** Delay before a sender retries a reservation that waits for a member to stop. */
export const reclaimRetryMilliseconds = 250;
