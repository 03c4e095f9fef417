import {createRandomSource, type Milliseconds, type RandomSource} from '#core';
import type {Arrival, Scenario} from './types.js';

/** Time to the next arrival of a Poisson process. */
function drawDistance(random: RandomSource, perMillisecond: number): Milliseconds {
	return -Math.log(1 - random()) / perMillisecond;
}

type Mix = Readonly<{
	durationMilliseconds: Milliseconds;
	longShare: number;
	shortMilliseconds: Milliseconds;
	longMilliseconds: Milliseconds;
	stragglerShare: number;
	stragglerFactor: number;
	wrongShare: number;
	/** Arrivals per millisecond at a time. */
	rate(at: Milliseconds): number;
}>;

function drawArrivals(seed: number, mix: Mix): readonly Arrival[] {
	const random = createRandomSource(seed);
	const arrivals: Arrival[] = [];
	for (let at = drawDistance(random, mix.rate(0)); at < mix.durationMilliseconds; at += drawDistance(random, mix.rate(at))) {
		const isLong = random() < mix.longShare;
		const isStraggler = random() < mix.stragglerShare;
		const usual = isLong ? mix.longMilliseconds : mix.shortMilliseconds;
		arrivals.push({
			number: arrivals.length,
			at,
			plan: isLong ? 'layouts' : 'rosters',
			kind: isLong ? 'layout' : 'roster',
			serviceClass: isLong ? 'long' : 'short',
			serviceMilliseconds: isStraggler ? usual * mix.stragglerFactor : usual,
			declaredMilliseconds: random() < mix.wrongShare ? (isLong ? mix.shortMilliseconds : mix.longMilliseconds) : usual,
			isStraggler,
		});
	}

	return arrivals;
}

/**
Mixed costs of a published comparison of load balancing algorithms (System Design Simple, 2026): 4 servers of 8 slots, 10% of requests take 400 ms and the others 20 ms.

Mean cost is 58 ms, so 66% of 32 slots is about 0.364 requests a millisecond.
*/
export function createMixedCosts(seed: number): Scenario {
	return {
		name: 'mixed costs, 4 workers of 8 slots, 66% load',
		workers: 4,
		slots: 8,
		entries: 3,
		failing: new Set(),
		failureMilliseconds: 1,
		crest: [0, 60_000],
		arrivals: drawArrivals(seed, {
			durationMilliseconds: 60_000, rate: () => 0.66 * 32 / 58, longShare: 0.1, shortMilliseconds: 20, longMilliseconds: 400, stragglerShare: 0, stragglerFactor: 1, wrongShare: 0,
		}),
	};
}

const crestStart = 10_000;
const crestEnd = 18_000;
const rampMilliseconds = 2000;
/** At the crest, short requests need 7 of the 20 slots that the workers keep for them, twice that with stragglers; long ones need 100 of the other 60. */
const baseRate = 0.04;
const swing = 10;

/** Demand grows ten times within two seconds and falls back. */
function swingRate(at: Milliseconds): number {
	if (at < crestStart || at >= crestEnd + rampMilliseconds) {
		return baseRate;
	}

	if (at < crestStart + rampMilliseconds) {
		return baseRate * (1 + ((swing - 1) * (at - crestStart) / rampMilliseconds));
	}

	return at < crestEnd ? baseRate * swing : baseRate * (1 + ((swing - 1) * (crestEnd + rampMilliseconds - at) / rampMilliseconds));
}

export type SwingOptions = Readonly<{stragglers: boolean; failing: boolean}>;

/** The present size: 10 workers of 8 slots, a swing of ten times, 30% wrong declarations. */
export function createSwing(seed: number, {stragglers, failing}: SwingOptions): Scenario {
	const extras = [...(stragglers ? ['2% stragglers'] : []), ...(failing ? ['one worker fails everything'] : [])];
	return {
		name: `swing of ten times, 10 workers of 8 slots, 30% wrong declarations${extras.map(extra => `, ${extra}`).join('')}`,
		workers: 10,
		slots: 8,
		entries: 3,
		failing: new Set(failing ? [0] : []),
		failureMilliseconds: 1,
		crest: [crestStart + rampMilliseconds, crestEnd],
		arrivals: drawArrivals(seed, {
			durationMilliseconds: 30_000,
			rate: swingRate,
			longShare: 0.125,
			shortMilliseconds: 20,
			longMilliseconds: 2000,
			stragglerShare: stragglers ? 0.02 : 0,
			stragglerFactor: 50,
			wrongShare: 0.3,
		}),
	};
}
