/** Learns from samples of runs, and forgets what is not confirmed. */
import {groupBy, type MonotonicTime} from '#core';
import type {WorkerIncarnation} from '#jobs';
import {
	beliefMilliseconds, comparableRuns, comparableWorkers, implausibleFactor, rememberedGroups, rememberedKinds, rememberedOfKind, rememberedPaces, rememberedPairs, rememberedWorkers,
} from './constants.js';
import {judgeKind} from './interference.js';
import {
	estimateSpeed, isSlow, keyOfPair, keyOfWorker, observeWorker,
} from './speeds.js';
import {findMedian} from './statistics.js';
import type {
	BeliefChange, ComparableGroup, ComparablePace, GroupPaces, Measurement, Observation, PaceState, PaceStep, RunSample, WorkerKey, WorkerPace,
} from './types.js';
import {areSameNeighbours, keyOfRun, measureWindows} from './windows.js';

export function createPaceState(): PaceState {
	return {
		windows: new Map(), groups: new Map(), workers: new Map(), kinds: new Map(), interference: new Map(),
	};
}

/**
Learns from samples of all runs that can be compared with others of their step: single tasks, which progress independently. Gangs are left out: all members progress at the pace of the slowest one, and callers' estimates are off by a factor of two.

Addresses uneven workers, and tasks that slow each other down.

@example
```
const {state, changes} = recordPace(pace, samples, monotonic);
```
*/
export function recordPace(state: PaceState, samples: readonly RunSample[], now: MonotonicTime): PaceStep {
	const expired = expirePace(state, now);
	const {windows, measurements} = measureWindows(expired.state.windows, samples);
	const {groups, observations} = compareWithGroups(expired.state, measurements, now);
	const incarnations = new Map(measurements.map(({sample: {worker}}) => [keyOfWorker(worker), worker]));
	const workers = observeWorkers(expired.state, observations, incarnations, now);
	const kinds = observeKinds(expired.state.kinds, observations);
	let {interference} = expired.state;
	for (const kind of new Set(observations.flatMap(({kind, neighbours}) => neighbours === undefined ? [] : [kind]))) {
		interference = judgeKind({workers, kinds, interference}, kind, now);
	}

	const next: PaceState = {
		windows, groups, workers, kinds, interference: keepLast(interference, ({until}) => until, rememberedPairs),
	};
	return {state: next, changes: [...expired.changes, ...listChanges(expired.state, next, now)]};
}

/** Drops beliefs and observations that have ended. */
export function expirePace(state: PaceState, now: MonotonicTime): PaceStep {
	const next: PaceState = {
		windows: state.windows,
		groups: filterValues(state.groups, ({at}) => now - at < beliefMilliseconds),
		workers: filterValues(state.workers, ({until}) => now < until),
		kinds: filterValues(state.kinds, observations => now - (observations.at(-1)?.at ?? -Infinity) < beliefMilliseconds),
		interference: filterValues(state.interference, ({until}) => now < until),
	};
	return {state: next, changes: listChanges(state, next, now)};
}

function filterValues<Key, Value>(map: ReadonlyMap<Key, Value>, isKept: (value: Value) => boolean): ReadonlyMap<Key, Value> {
	return new Map([...map].filter(([, value]) => isKept(value)));
}

/** Keeps at most `limit` entries, those with the highest order. */
function keepLast<Key, Value>(map: ReadonlyMap<Key, Value>, orderOf: (value: Value) => number, limit: number): ReadonlyMap<Key, Value> {
	return map.size <= limit ? map : new Map([...map].toSorted(([, first], [, second]) => orderOf(first) - orderOf(second)).slice(-limit));
}

/** Relates each pace to the median of its group. Paces are first divided by what is believed, so that a group on fast workers is not taken for usual. */
function compareWithGroups(state: PaceState, measurements: readonly Measurement[], now: MonotonicTime): Readonly<{groups: PaceState['groups']; observations: readonly Observation[]}> {
	const groups = new Map<ComparableGroup, GroupPaces>(state.groups);
	const observations: Observation[] = [];
	for (const [group, measured] of groupBy(measurements, ({sample}) => sample.group)) {
		const paces = measured.map(measurement => comparePace(state, measurement, now));
		const runs = new Set(paces.map(({run}) => run));
		const remembered = [...(groups.get(group)?.paces ?? []).filter(({run}) => !runs.has(run)), ...paces].slice(-Math.max(rememberedPaces, paces.length));
		if (remembered.length >= comparableRuns && new Set(remembered.map(({worker}) => worker)).size >= comparableWorkers) {
			const median = findMedian(remembered.map(({pace}) => pace));
			observations.push(...measured.map(measurement => observe(measurement, median, now)).filter(({logarithm}) => Math.abs(logarithm) <= Math.log(implausibleFactor)));
		}

		groups.set(group, {paces: remembered.slice(-rememberedPaces), at: now});
	}

	return {groups: keepLast(groups, ({at}) => at, rememberedGroups), observations};
}

function comparePace(state: PaceState, {sample, pace, neighbours = []}: Measurement, now: MonotonicTime): ComparablePace {
	const speed = estimateSpeed(state, sample.worker, now) ?? 1;
	const factor = neighbours.reduce((product, neighbour) => product * (state.interference.get(keyOfPair({kind: sample.kind, neighbour}))?.factor ?? 1), 1);
	return {run: keyOfRun(sample), worker: keyOfWorker(sample.worker), pace: pace / (speed * factor)};
}

function observe({sample, pace, neighbours}: Measurement, median: number, now: MonotonicTime): Observation {
	return {
		run: keyOfRun(sample), worker: keyOfWorker(sample.worker), kind: sample.kind, neighbours, logarithm: Math.log(pace / median), at: now,
	};
}

function observeWorkers(state: PaceState, observations: readonly Observation[], incarnations: ReadonlyMap<WorkerKey, WorkerIncarnation>, now: MonotonicTime): PaceState['workers'] {
	const workers = new Map(state.workers);
	for (const [key, added] of groupBy(observations, ({worker}) => worker)) {
		const worker = incarnations.get(key);
		if (worker !== undefined) {
			workers.set(key, observeWorker(worker, workers.get(key), added, {interference: state.interference, now}));
		}
	}

	return keepLast(workers, ({until}) => until, rememberedWorkers);
}

/** Each run counts once for each set of neighbours. */
function observeKinds(kinds: PaceState['kinds'], observations: readonly Observation[]): PaceState['kinds'] {
	const next = new Map(kinds);
	for (const [kind, group] of groupBy(observations.filter(({neighbours}) => neighbours !== undefined), observation => observation.kind)) {
		const added = group.slice(-rememberedOfKind);
		const isReplaced = (earlier: Observation) => added.some(({run, neighbours}) => run === earlier.run && areSameNeighbours(neighbours, earlier.neighbours));
		next.set(kind, [...(next.get(kind) ?? []).filter(earlier => !isReplaced(earlier)), ...added].slice(-rememberedOfKind));
	}

	return keepLast(next, entries => entries.at(-1)?.at ?? -Infinity, rememberedKinds);
}

function listChanges(earlier: PaceState, next: PaceState, now: MonotonicTime): readonly BeliefChange[] {
	const began = [...next.interference].filter(([key]) => !earlier.interference.has(key)).map(([, belief]): BeliefChange => ({kind: 'interference-began', belief}));
	const ended = [...earlier.interference].filter(([key]) => !next.interference.has(key)).map(([, belief]): BeliefChange => ({kind: 'interference-ended', belief}));
	const describe = (kind: 'slow-worker-began' | 'slow-worker-ended', from: PaceState, to: PaceState) => listSlow(from)
		.filter(([key]) => !isSlow(to.workers.get(key)?.speed))
		.map(([, {worker, speed = 0, observations, until}]): BeliefChange => ({
			kind, worker, speed, observations: observations.length, until,
		}));
	return [...began, ...ended, ...describe('slow-worker-began', next, earlier), ...describe('slow-worker-ended', earlier, next)];
}

function listSlow({workers}: PaceState): ReadonlyArray<readonly [string, WorkerPace]> {
	return [...workers].filter(([, {speed}]) => isSlow(speed));
}

/** Numbers of what is believed. */
export function countBeliefs({workers, interference}: PaceState): Readonly<{speeds: number; slowWorkers: number; interference: number}> {
	const speeds = [...workers.values()].flatMap(({speed}) => speed === undefined ? [] : [speed]);
	return {speeds: speeds.length, slowWorkers: speeds.filter(speed => isSlow(speed)).length, interference: interference.size};
}
