import {expect} from 'chai';
import {takeToken, type RateLimit, type RatePermit} from '#limits';

const settings = {perSecond: 5, burst: 2};
const granted: RatePermit = {kind: 'granted'};

type Case = Readonly<{name: string; limit: RateLimit; now: number; left: number; permit: RatePermit}>;

const cases: readonly Case[] = [
	{
		name: 'a token is taken while there is one (caller refused without need)', limit: {tokens: 1, at: 0}, now: 0, left: 0, permit: granted,
	},
	{
		name: 'tokens come back with time (limit that never recovers)', limit: {tokens: 0, at: 0}, now: 300, left: 0.5, permit: granted,
	},
	{
		name: 'tokens are kept up to the burst (flood after a calm time)', limit: {tokens: 2, at: 0}, now: 100_000, left: 1, permit: granted,
	},
	{
		name: 'a refusal says when a token is there (caller that returns in vain)', limit: {tokens: 0.5, at: 0}, now: 0, left: 0.5, permit: {kind: 'refused', retryAfterMilliseconds: 100},
	},
	{
		name: 'a time before the last one adds nothing (negative tokens)', limit: {tokens: 0.5, at: 100}, now: 0, left: 0.5, permit: {kind: 'refused', retryAfterMilliseconds: 100},
	},
];

describe('rate limit', () => {
	for (const {
		name, limit, now, left, permit,
	} of cases) {
		it(name, () => {
			const taken = takeToken(limit, settings, now);
			expect(taken.permit).to.deep.equal(permit);
			expect(taken.limit.tokens).to.be.closeTo(left, 1e-9);
		});
	}
});
