import type {Milliseconds, RandomSource} from '#core';
import {storeBackoffMaximumMilliseconds, storeBackoffMinimumMilliseconds} from './constants.js';

/**
Computes the delay before a failed call is retried: exponential backoff with full jitter.

@param failures - Number of consecutive failures, at least 1.
@param retryAfter - Minimum delay that the store requested.
@param maximum - Upper bound of the jitter range; can be lower where few callers retry.
*/
export function computeBackoff(failures: number, random: RandomSource, retryAfter: Milliseconds = 0, maximum: Milliseconds = storeBackoffMaximumMilliseconds): Milliseconds {
	const bound = Math.min(maximum, storeBackoffMinimumMilliseconds * (2 ** failures));
	return retryAfter + (random() * bound);
}
