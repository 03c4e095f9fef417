import type {CallerAnswer} from '#protocol';
import {storeRetryAfterMilliseconds} from '../constants.js';

/** Refusal of a request that the store cannot serve at present. A submission is refused only if it is certain that its job was not stored. */
export const storeUnavailableAnswer: CallerAnswer = {kind: 'refused', reason: 'store-unavailable', retryAfterMilliseconds: storeRetryAfterMilliseconds};
