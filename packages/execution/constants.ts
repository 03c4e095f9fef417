/**
Identifiers of non-idempotent requests that are older are refused, so answers need to be remembered no longer.

One minute longer than at entries: if clocks differ by less, an entry refuses an old identifier before it reaches an agent that has forgotten its answer.
*/
export const identifierRetentionMilliseconds = 660_000;
/** Clocks of callers may be ahead by this much. */
export const identifierToleranceMilliseconds = 60_000;
/** Answers that are remembered: about 45 non-idempotent requests a second over their retention. */
export const maximumRetainedAnswers = 32_768;
/** Bytes of remembered answers, estimated from their JSON text. */
export const maximumRetainedBytes = 16_777_216;
/** Memory of one remembered answer besides its text: record, identifier, map and queue entries. */
export const answerOverheadBytes = 256;
/** How often overdue requests and expired answers are looked for. */
export const executionTickMilliseconds = 200;
/** Kinds of work whose service times are kept; the one not seen for longest is forgotten first. */
export const maximumObservedKinds = 1024;
/** Observations after which the agent's own estimate replaces the entry's hint. */
export const minimumObservations = 3;
/** Weight of the newest service time in the estimate. */
export const observationWeight = 0.2;
