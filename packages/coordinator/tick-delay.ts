import type {Milliseconds, MonotonicTime} from '#core';
import {measureWaitForStarts, type SchedulerState} from '#scheduling';
import {minimumTickMilliseconds, schedulerTickMilliseconds} from './constants.js';

/** Delay before the scheduler's next tick: the usual interval, or shorter if a task need no longer wait for an unanswered start before, so that it loses no more time. */
export function chooseTickDelay(state: SchedulerState, monotonic: MonotonicTime): Milliseconds {
	return Math.max(minimumTickMilliseconds, Math.min(schedulerTickMilliseconds, Math.ceil(measureWaitForStarts(state, monotonic))));
}
