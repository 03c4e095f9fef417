import {
	assertNever, pickInteger, type RandomSource, type ServiceClass,
} from '#core';
import {maximumRandomPicks} from './constants.js';
import type {Candidate, CandidateSource} from './types.js';

/**
Picks two candidates at random and returns the one with less work per slot.

Two choices keep queue lengths balanced and avoid the herd effect of picking the least loaded worker, which several entries with stale reports would all pick (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
*/
export function chooseWorker(source: CandidateSource, serviceClass: ServiceClass, random: RandomSource): Candidate | undefined {
	let first: Candidate | undefined;
	for (let picks = 0; picks < maximumRandomPicks && source.count > 0; picks++) {
		const picked = source.at(pickInteger(random, source.count));
		if (picked === undefined || picked.worker === first?.worker) {
			continue;
		}

		if (first !== undefined) {
			return estimateLoad(first, serviceClass) <= estimateLoad(picked, serviceClass) ? first : picked;
		}

		first = picked;
	}

	return first ?? findAnyCandidate(source, random);
}

/** Finds any candidate by a linear scan, for the case that few workers may take the request. */
function findAnyCandidate(source: CandidateSource, random: RandomSource): Candidate | undefined {
	const offset = pickInteger(random, Math.max(1, source.count));
	for (let step = 0; step < source.count; step++) {
		const candidate = source.at((offset + step) % source.count);
		if (candidate !== undefined) {
			return candidate;
		}
	}

	return undefined;
}

/**
Estimates the work per slot ahead of a new request of the class; a worker in slow start counts with fewer slots.

Short work is not delayed by queued long work, so only as much long work as can run at once counts for it.
*/
export function estimateLoad({outstanding, others, slots, longSlots, share}: Candidate, serviceClass: ServiceClass): number {
	const short = outstanding.short + others.short;
	const long = outstanding.long + others.long;
	const capacity = Math.max(1, slots) * share;
	switch (serviceClass) {
		case 'short': {
			return (short + Math.min(long, longSlots) + 1) / capacity;
		}

		case 'long': {
			return (short + long + 1) / capacity;
		}

		default: {
			return assertNever(serviceClass);
		}
	}
}
