/** Of each worker's slots, this share is closed to long work, rounded up to at least one slot. */
export const reservedShareForShort = 0.25;
/** Requests that may wait per slot; with 8 slots the queue holds 256. */
export const queuedPerSlot = 32;
/** Bounds of the time after which a caller that met a full queue may try again. */
export const minimumRetryAfterMilliseconds = 100;
export const maximumRetryAfterMilliseconds = 30_000;
