/** Exit codes of `dotterelnotch`. */
export const exitCodeDone = 0;
export const exitCodeFailure = 1;
/** An invalid setting, file or argument, or work that was refused as invalid. */
export const exitCodeBadInput = 2;
/** The configuration has changed since the base revision. */
export const exitCodeStaleBase = 3;
/** The store or the entry could not be reached, and nothing was changed. */
export const exitCodeUnavailable = 4;
/** Unknown whether a change took effect or work ran. */
export const exitCodeUnknown = 5;

/** Timeout of the write of `put`; afterwards it reports what is known. */
export const putTimeoutMilliseconds = 20_000;
export const defaultWaitSeconds = 30;
/** Interval at which `put --wait` polls the entries. */
export const waitIntervalMilliseconds = 500;
export const callTimeoutMilliseconds = 3000;
export const defaultHistoryLimit = 10;
