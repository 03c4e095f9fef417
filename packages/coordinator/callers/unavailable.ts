import type {CallerAnswer} from '#protocol';
import {storeRetryAfterMilliseconds} from '../constants.js';

/** Refusal of a request for which nothing was written to the store. */
export const storeUnavailableAnswer: CallerAnswer = {kind: 'refused', reason: 'store-unavailable', retryAfterMilliseconds: storeRetryAfterMilliseconds};
