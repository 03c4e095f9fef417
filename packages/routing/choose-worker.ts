import {pickInteger, type RandomSource} from '#core';
import {maximumPicks} from './constants.js';
import type {Candidate, CandidateSource} from './types.js';

/**
Picks two candidates at random and returns the one with less work per slot.

Two choices keep the longest queue close to the shortest one without the herd that the least loaded worker attracts when several entries decide on old reports (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
*/
export function chooseWorker(source: CandidateSource, random: RandomSource): Candidate | undefined {
	let first: Candidate | undefined;
	for (let picks = 0; picks < maximumPicks && source.count > 0; picks++) {
		const picked = source.at(pickInteger(random, source.count));
		if (picked === undefined || picked.worker === first?.worker) {
			continue;
		}

		if (first !== undefined) {
			return estimateLoad(first) <= estimateLoad(picked) ? first : picked;
		}

		first = picked;
	}

	return first ?? scan(source, random);
}

/** Finds any candidate where few of them may take the request. */
function scan(source: CandidateSource, random: RandomSource): Candidate | undefined {
	const offset = pickInteger(random, Math.max(1, source.count));
	for (let step = 0; step < source.count; step++) {
		const candidate = source.at((offset + step) % source.count);
		if (candidate !== undefined) {
			return candidate;
		}
	}

	return undefined;
}

/** Work per slot once the request is added; a worker in slow start counts for fewer slots. */
export function estimateLoad({outstanding, reported, slots, share}: Candidate): number {
	return (Math.max(outstanding, reported) + 1) / (Math.max(1, slots) * share);
}
