import {pickInteger, type RandomSource} from '#core';
import type {Candidate} from './types.js';

/** Picks two candidates at random and returns the one with less outstanding work per slot. */
export function chooseWorker(candidates: readonly Candidate[], random: RandomSource): Candidate | undefined {
	const first = candidates[pickInteger(random, candidates.length)];
	const second = candidates[pickInteger(random, candidates.length)];
	if (first === undefined || second === undefined) {
		return undefined;
	}

	return estimateLoad(first) <= estimateLoad(second) ? first : second;
}

function estimateLoad({outstanding, reported, slots}: Candidate): number {
	return Math.max(outstanding, reported) / Math.max(1, slots);
}
