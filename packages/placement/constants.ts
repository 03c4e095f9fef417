import type {Milliseconds} from '#core';

/** How long a worker that disappeared retains its cells by default. Most VMs return after a restart of about a minute. */
export const defaultAbsenceDelayMilliseconds: Milliseconds = 90_000;
/** Maximum number of alternatives tried, cheapest first, when other cells are moved to make room for one cell; limits the duration of a repair. */
export const maximumMoveCandidates = 64;
/** Number of borrowers, largest first, for which an eviction is checked for being unnecessary; limits the duration of one placement. */
export const maximumEvictionChecks = 12;
