/**
Older identifiers of non-idempotent requests are refused, so their answers need not be retained.

One minute longer than at entries: with less clock skew than that, an entry refuses an old identifier before it reaches an agent that no longer has its answer.
*/
export const identifierRetentionMilliseconds = 660_000;
/** Allowed clock skew of callers into the future. */
export const identifierToleranceMilliseconds = 60_000;
/** Maximum number of retained answers: about 45 non-idempotent requests per second over their retention. */
export const maximumRetainedAnswers = 32_768;
/** Maximum size of the retained answers in bytes, estimated from their JSON text. */
export const maximumRetainedBytes = 16_777_216;
/** Memory of one retained answer in addition to its text: record, identifier, map and queue entries. */
export const answerOverheadBytes = 256;
/** Interval of the checks for overdue requests and expired answers. */
export const executionTickMilliseconds = 200;
/** Maximum number of kinds of work with recorded service times; the least recently seen one is evicted first. */
export const maximumObservedKinds = 1024;
/** Number of observations from which the agent's own estimate replaces the entry's. */
export const minimumObservations = 3;
/** Weight of the latest service time in the moving average. */
export const observationWeight = 0.2;
