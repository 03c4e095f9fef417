/** Share of each worker's slots that long work may not use; at least one slot, unless the worker has only one. */
export const reservedShareForShort = 0.25;
/** Queue capacity per slot: 256 requests with 8 slots. */
export const queuedPerSlot = 32;
/** Bounds of the retry delay that is sent to callers when the queue is full. */
export const minimumRetryAfterMilliseconds = 100;
export const maximumRetryAfterMilliseconds = 30_000;
