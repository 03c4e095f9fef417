import type {Milliseconds} from '#core';

/** How long a worker that disappeared retains its cells by default. Most VMs return after a restart of about a minute. */
export const defaultAbsenceDelayMilliseconds: Milliseconds = 90_000;
/** Candidates that are tried for one cell by moving other cells, cheapest first; limits the duration of a repair. */
export const maximumMoveCandidates = 64;
/** Evictions that are checked for being needed; limits the duration of one placement. */
export const maximumEvictionChecks = 12;
