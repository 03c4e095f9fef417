/** Lease of a request's task on the worker; each long poll for its end renews it. */
export const requestLeaseMilliseconds = 10_000;
/** Number of entries that an agent connects to, unless its settings list more. */
export const maximumEntries = 4;
/** Bounds of the backoff before an entry is dialled again: the delay is random between zero and a limit that doubles with each failure. */
export const redialBaseMilliseconds = 500;
export const redialMaximumMilliseconds = 8000;
/** Number of failed attempts after which a discovered entry is removed; entries from the settings are always kept. */
export const maximumDialFailures = 5;
export const entryCallTimeoutMilliseconds = 5000;
/** How long a drained agent waits until the entries have read its last answers. */
export const flushTimeoutMilliseconds = 2000;
/** How long a draining agent waits for an entry to query an answer whose connection closed; longer than a reconnect takes. */
export const deliveryGraceMilliseconds = 10_000;
export const maximumUndelivered = 1024;
export const deliveryTickMilliseconds = 250;
