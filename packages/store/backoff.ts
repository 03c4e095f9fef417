import type {Milliseconds, RandomSource} from '#core';
import {storeBackoffMaximumMilliseconds, storeBackoffMinimumMilliseconds} from './constants.js';

/**
Chooses the delay before a failed call is tried again: full jitter below a bound that doubles with each failure.

@param failures - Failures in a row, from 1.
@param retryAfter - The shortest delay that the store asked for.
@param maximum - Largest bound; few callers may come back sooner than many.
*/
export function computeBackoff(failures: number, random: RandomSource, retryAfter: Milliseconds = 0, maximum: Milliseconds = storeBackoffMaximumMilliseconds): Milliseconds {
	const bound = Math.min(maximum, storeBackoffMinimumMilliseconds * (2 ** failures));
	return retryAfter + (random() * bound);
}
