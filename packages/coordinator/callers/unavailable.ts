import type {CallerAnswer} from '#protocol';
import {storeRetryAfterMilliseconds} from '../constants.js';

/** Refuses a request of which nothing was written. */
export const storeUnavailableAnswer: CallerAnswer = {kind: 'refused', reason: 'store-unavailable', retryAfterMilliseconds: storeRetryAfterMilliseconds};
