/** Lease of a request's task on the worker; each wait for its end renews it. */
export const requestLeaseMilliseconds = 10_000;
/** Entries that an agent is connected to, unless its settings name more. */
export const maximumEntries = 4;
/** Bounds of the delay before an entry is dialled again; the delay is drawn from zero up to a limit that doubles with each failure. */
export const redialBaseMilliseconds = 500;
export const redialMaximumMilliseconds = 8000;
/** An entry that was learned from another one is forgotten after so many failed attempts; those in the settings are kept. */
export const maximumDialFailures = 5;
export const entryCallTimeoutMilliseconds = 5000;
/** How long an agent that drained waits for its last answers to be read by the entries. */
export const flushTimeoutMilliseconds = 2000;
/** How long a draining agent waits for an entry to dial in and ask for an answer whose connection broke; longer than a redial takes. */
export const deliveryGraceMilliseconds = 10_000;
export const maximumUndelivered = 1024;
export const deliveryTickMilliseconds = 250;
