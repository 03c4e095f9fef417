/** Generates the arrivals of the demonstration from a seed: short and long requests, and gangs, from several plans. */
import {pickInteger, type Milliseconds, type RandomSource} from '#core';
import type {WorkClass} from './types.js';

export type Arrival = Readonly<{
	/** Time since the start of the load. */
	at: Milliseconds;
	workClass: WorkClass;
	plan: string;
	kind: string;
	idempotent: boolean;
	runMilliseconds: Milliseconds;
	/** Gangs only. */
	members: number;
	acceleratorsPerMember: number;
	preemptible: boolean;
}>;

const loadMilliseconds = 14_000;
const meanGapMilliseconds = 12;
/** Multiplier of the request rate between the two times below. */
const peakFactor = 4;
const peakStartMilliseconds = 6000;
const peakEndMilliseconds = 8000;
const meanGangGapMilliseconds = 450;
const longShare = 0.08;
const stragglerShare = 0.02;
const nonIdempotentShare = 0.25;

const requestPlans = ['rosters', 'layouts', 'remotes'] as const;
const gangPlans = ['layouts', 'domes', 'remotes'] as const;

/** Lists all arrivals ordered by time. The same seed gives the same list. */
export function listArrivals(random: RandomSource): readonly Arrival[] {
	return [...listRequests(random), ...listGangs(random)].toSorted((first, second) => first.at - second.at);
}

function listRequests(random: RandomSource): readonly Arrival[] {
	const arrivals: Arrival[] = [];
	for (let at = 0; at < loadMilliseconds; at += drawGap(random, meanGapMilliseconds / (isPeak(at) ? peakFactor : 1))) {
		const isLong = random() < longShare;
		const isStraggler = !isLong && random() < stragglerShare;
		const shortMilliseconds = 20;
		arrivals.push({
			at,
			workClass: isLong ? 'long' : 'short',
			plan: pick(random, requestPlans),
			kind: isLong ? 'layout' : 'roster',
			idempotent: random() >= nonIdempotentShare,
			runMilliseconds: isLong ? 400 : shortMilliseconds * (isStraggler ? 50 : 1),
			members: 0,
			acceleratorsPerMember: 0,
			preemptible: false,
		});
	}

	return arrivals;
}

function listGangs(random: RandomSource): readonly Arrival[] {
	const arrivals: Arrival[] = [];
	for (let at = 200; at < loadMilliseconds; at += drawGap(random, meanGangGapMilliseconds)) {
		arrivals.push({
			at,
			workClass: 'gang',
			plan: pick(random, gangPlans),
			kind: 'dome-curve',
			idempotent: random() >= nonIdempotentShare,
			runMilliseconds: 500 + pickInteger(random, 1500),
			members: 1 + pickInteger(random, 3),
			acceleratorsPerMember: pick(random, [1, 2, 4, 8]),
			preemptible: random() < 0.6,
		});
	}

	return arrivals;
}

function isPeak(at: Milliseconds): boolean {
	return at >= peakStartMilliseconds && at < peakEndMilliseconds;
}

/** Draws an exponentially distributed gap, so that the arrivals form a Poisson process. */
function drawGap(random: RandomSource, mean: Milliseconds): Milliseconds {
	return -Math.log(1 - random()) * mean;
}

function pick<Value>(random: RandomSource, values: readonly [Value, ...Value[]]): Value {
	return values[pickInteger(random, values.length)] ?? values[0];
}
