/** Pairs of kinds of which one slows the other on the same worker. */
import {groupBy, type MonotonicTime} from '#core';
import {
	baselineObservations, beliefMilliseconds, comparedNeighbours, implausibleInterference, interferenceErrors, interferenceFactors, interferenceObservations, interferenceWorkers,
	smallestDeviation,
} from './constants.js';
import {correctObservation, keyOfPair} from './speeds.js';
import {findMean, findMedian, measureSquaredError} from './statistics.js';
import type {
	Interference, Observation, PaceState, TaskKind,
} from './types.js';

/**
Estimates how a neighbour changes the pace of a kind of tasks: 0.6 means that they take 1.7 times as long. Undefined without a belief.

Addresses tasks that slow each other down on one worker.
*/
export function estimateInterference({interference}: PaceState, kind: TaskKind, neighbour: TaskKind, now: MonotonicTime): number | undefined {
	const belief = interference.get(keyOfPair({kind, neighbour}));
	return belief !== undefined && now < belief.until ? belief.factor : undefined;
}

/** Lists the kinds that each kind should be kept apart from, whichever of the two slows the other. */
export function listConflicts({interference}: PaceState, now: MonotonicTime): ReadonlyMap<TaskKind, ReadonlySet<TaskKind>> {
	const conflicts = new Map<TaskKind, Set<TaskKind>>();
	for (const {kind, neighbour, until} of interference.values()) {
		if (now < until) {
			conflicts.set(kind, (conflicts.get(kind) ?? new Set()).add(neighbour));
			conflicts.set(neighbour, (conflicts.get(neighbour) ?? new Set()).add(kind));
		}
	}

	return conflicts;
}

/** Result of a comparison of runs beside a neighbour with runs without it. */
type Comparison = Readonly<{neighbour: TaskKind; factor: number; errors: number; observationsWith: number; observationsWithout: number; latestWith: MonotonicTime}>;

/**
Compares the runs of a kind with and without each neighbour, and returns the beliefs about the kind.

Of the pairs that are not believed yet, only the clearest begins at a time: a neighbour that often stands beside the true cause no longer shows an effect once that is known.
*/
export function judgeKind(state: Pick<PaceState, 'workers' | 'kinds' | 'interference'>, kind: TaskKind, now: MonotonicTime): ReadonlyMap<string, Interference> {
	const observations = (state.kinds.get(kind) ?? []).filter(({at}) => now - at < beliefMilliseconds);
	const interference = new Map(state.interference);
	const candidates: Comparison[] = [];
	for (const neighbour of listNeighbours(observations)) {
		const comparison = compare(state, {kind, neighbour}, observations);
		const key = keyOfPair({kind, neighbour});
		const held = interference.get(key);
		if (comparison === undefined) {
			continue;
		}

		if (held === undefined) {
			candidates.push(comparison);
		} else if (comparison.factor > interferenceFactors.end) {
			interference.delete(key);
		} else if (comparison.errors >= interferenceErrors.confirm && comparison.latestWith >= held.until - beliefMilliseconds) {
			interference.set(key, holdBelief(kind, comparison, held.since));
		}
	}

	const [clearest] = candidates
		.filter(({factor, errors}) => factor <= interferenceFactors.begin && errors >= interferenceErrors.begin)
		.toSorted((first, second) => second.errors - first.errors);
	if (clearest !== undefined) {
		interference.set(keyOfPair({kind, neighbour: clearest.neighbour}), holdBelief(kind, clearest, now));
	}

	return interference;
}

function holdBelief(kind: TaskKind, {neighbour, factor, observationsWith, observationsWithout, latestWith}: Comparison, since: MonotonicTime): Interference {
	return {
		kind, neighbour, factor, observationsWith, observationsWithout, since, until: latestWith + beliefMilliseconds,
	};
}

/** Lists the neighbours that were seen most often. */
function listNeighbours(observations: readonly Observation[]): readonly TaskKind[] {
	const counts = new Map<TaskKind, number>();
	for (const neighbour of observations.flatMap(({neighbours = []}) => neighbours)) {
		counts.set(neighbour, (counts.get(neighbour) ?? 0) + 1);
	}

	return [...counts]
		.filter(([, count]) => count >= interferenceObservations)
		.toSorted(([, first], [, second]) => second - first)
		.slice(0, comparedNeighbours)
		.map(([neighbour]) => neighbour);
}

/** A pace divided by the speed that its worker showed until then in runs without the neighbour. Later runs do not count: a cold worker becomes faster by itself. */
type DividedPace = Readonly<{worker: string; logarithm: number}>;

function compare(state: Pick<PaceState, 'workers' | 'interference'>, pair: Pick<Interference, 'kind' | 'neighbour'>, observations: readonly Observation[]): Comparison | undefined {
	// The pair's own belief must not correct the runs that are to confirm it.
	const others = new Map([...state.interference].filter(([key]) => key !== keyOfPair(pair)));
	const isBeside = ({neighbours}: Observation) => neighbours?.includes(pair.neighbour) === true;
	const divide = (observation: Observation): readonly DividedPace[] => {
		const baseline = (state.workers.get(observation.worker)?.observations ?? [])
			.filter(other => other.at <= observation.at && other.neighbours !== undefined && !isBeside(other) && (other.run !== observation.run || isBeside(observation)))
			.map(other => correctObservation(other, others));
		const logarithm = correctObservation(observation, others) - findMedian(baseline);
		return baseline.length < baselineObservations || Math.abs(logarithm) > Math.log(implausibleInterference) ? [] : [{worker: observation.worker, logarithm}];
	};

	const besides = observations.filter(observation => isBeside(observation));
	const sides = [besides, observations.filter(observation => !isBeside(observation))].map(side => side.flatMap(observation => divide(observation)));
	const [beside = [], without = []] = sides;
	const [besideByWorker = [], withoutByWorker = []] = sides.map(side => [...groupBy(side, ({worker}) => worker).values()].map(paces => findMean(paces.map(({logarithm}) => logarithm))));
	if (Math.min(beside.length, without.length) < interferenceObservations || Math.min(besideByWorker.length, withoutByWorker.length) < interferenceWorkers) {
		return undefined;
	}

	const difference = findMean(withoutByWorker) - findMean(besideByWorker);
	return {
		neighbour: pair.neighbour,
		factor: Math.exp(-difference),
		errors: difference / Math.sqrt(measureSquaredError(besideByWorker, smallestDeviation) + measureSquaredError(withoutByWorker, smallestDeviation)),
		observationsWith: beside.length,
		observationsWithout: without.length,
		latestWith: Math.max(...besides.map(({at}) => at)),
	};
}
