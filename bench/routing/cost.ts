import {performance} from 'node:perf_hooks';
import {createRandomSource, type WorkerId} from '#core';
import {
	chooseWorker, estimateLoad, type Candidate, type CandidateSource,
} from '#routing';

const choices = 20_000;
const rounds = 5;

/** Routing cost per choice in microseconds, and that of a plain scan of all candidates in the same run. */
export type RoutingCost = Readonly<{workers: number; choiceMicroseconds: number; scanMicroseconds: number}>;

export function measureRoutingCost(workers: number): RoutingCost {
	const random = createRandomSource(16);
	const candidates = Array.from({length: workers}, (_, index): Candidate => ({
		worker: `worker-${index}` as WorkerId, slots: 8, longSlots: 6, outstanding: {short: Math.floor(random() * 8), long: 2}, others: {short: Math.floor(random() * 8), long: 2}, share: 1,
	}));
	const source: CandidateSource = {
		count: workers,
		at(index) {
			const candidate = candidates[index];
			return candidate === undefined ? undefined : {...candidate};
		},
	};
	return {
		workers,
		choiceMicroseconds: measure(() => chooseWorker(source, 'short', random)),
		scanMicroseconds: measure(() => scan(candidates)),
	};
}

/** Builds the list of candidates and takes the least loaded one, as a plain implementation does. */
function scan(candidates: readonly Candidate[]): Candidate | undefined {
	const eligible = candidates.filter(({share}) => share > 0).map(candidate => ({...candidate}));
	return eligible.reduce<Candidate | undefined>((least, candidate) => least === undefined || estimateLoad(candidate, 'short') < estimateLoad(least, 'short') ? candidate : least, undefined);
}

/** Median over rounds of the mean cost of one call. */
function measure(call: () => Candidate | undefined): number {
	const costs: number[] = [];
	for (let round = 0; round < rounds; round++) {
		const startedAt = performance.now();
		for (let count = 0; count < choices; count++) {
			call();
		}

		costs.push((performance.now() - startedAt) * 1000 / choices);
	}

	return costs.toSorted((left, right) => left - right)[Math.floor(rounds / 2)] ?? 0;
}
