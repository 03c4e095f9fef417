import type {Milliseconds, MonotonicTime} from '#core';

export type RateLimitSettings = Readonly<{perSecond: number; burst: number}>;

/** Token bucket: `tokens` were there at `at`. */
export type RateLimit = Readonly<{tokens: number; at: MonotonicTime}>;

export type RatePermit = Readonly<{kind: 'granted'}> | Readonly<{kind: 'refused'; retryAfterMilliseconds: Milliseconds}>;

/**
Takes a token from the bucket if it holds one.

@example
```
takeToken({tokens: 1, at: 0}, {perSecond: 5, burst: 60}, 0);
//=> {limit: {tokens: 0, at: 0}, permit: {kind: 'granted'}}
```
*/
export function takeToken({tokens, at}: RateLimit, {perSecond, burst}: RateLimitSettings, now: MonotonicTime): Readonly<{limit: RateLimit; permit: RatePermit}> {
	const available = Math.min(burst, tokens + (Math.max(0, now - at) * perSecond / 1000));
	return available >= 1
		? {limit: {tokens: available - 1, at: now}, permit: {kind: 'granted'}}
		: {limit: {tokens: available, at: now}, permit: {kind: 'refused', retryAfterMilliseconds: Math.ceil((1 - available) * 1000 / perSecond)}};
}
