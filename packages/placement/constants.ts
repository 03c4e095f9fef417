import type {Milliseconds} from '#core';

/** How long a worker that vanished keeps its cells by default. Most VMs are back after a restart of about a minute. */
export const defaultAbsenceDelayMilliseconds: Milliseconds = 90_000;
/** Places that are tried for one cell by moving others away, cheapest first; bounds the time of a repair. */
export const maximumMoveCandidates = 64;
/** Evictions that are tested for being needed; bounds the time of one placement. */
export const maximumEvictionChecks = 12;
