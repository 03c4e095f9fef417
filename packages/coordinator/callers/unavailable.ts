import type {CallerAnswer} from '#protocol';
import {storeRetryAfterMilliseconds} from '../constants.js';

/** Refusal of a request that the store cannot serve at present. A submission is refused only if it is certain that its job was not stored. */
export const storeUnavailableAnswer: CallerAnswer = {kind: 'refused', reason: 'store-unavailable', retryAfterMilliseconds: storeRetryAfterMilliseconds};

/** Refusal of a request by an entry whose callers have seen the effect of a newer configuration than the one that it has. */
export const configurationOutdatedAnswer: CallerAnswer = {kind: 'refused', reason: 'configuration-outdated', retryAfterMilliseconds: storeRetryAfterMilliseconds};

/** Refusal of a request by an entry that has not read a configuration. */
export const noConfigurationAnswer: CallerAnswer = {kind: 'refused', reason: 'no-configuration', retryAfterMilliseconds: storeRetryAfterMilliseconds};
