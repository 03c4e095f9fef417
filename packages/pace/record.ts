/** Learns from samples of runs, and forgets what is not confirmed. */
import {groupBy, type MonotonicTime} from '#core';
import type {WorkerIncarnation} from '#jobs';
import {
	beliefMilliseconds, comparableRuns, comparableWorkers, implausibleFactors, judgedKinds, rememberedGroups, rememberedKinds, rememberedOfKind, rememberedPaces, rememberedPairs, rememberedWorkers,
} from './constants.js';
import {judgeKind} from './interference.js';
import {
	estimateSpeed, isSlow, keyOfPair, keyOfWorker, observeWorker, replaceObservations,
} from './speeds.js';
import {findMedian, findUsualMean} from './statistics.js';
import type {
	BeliefChange, ComparableGroup, ComparablePace, GroupPaces, Measurement, Observation, PaceState, PaceStep, RunSample, TaskKind, WorkerKey, WorkerPace,
} from './types.js';
import {keyOfRun, measureWindows} from './windows.js';

export function createPaceState(): PaceState {
	return {
		windows: new Map(), groups: new Map(), workers: new Map(), kinds: new Map(), interference: new Map(), turn: 0,
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
	for (const kind of chooseKinds(kinds, state.turn)) {
		interference = judgeKind({workers, kinds, interference}, kind, now);
	}

	const next: PaceState = {
		windows, groups, workers, kinds, interference: keepLast(interference, ({until}) => until, rememberedPairs), turn: state.turn + 1,
	};
	return {state: next, changes: [...expired.changes, ...listChanges(expired.state, next, now)]};
}

/** Takes turns, so that the cost of a sample does not grow with the number of kinds. */
function chooseKinds(kinds: PaceState['kinds'], turn: number): readonly TaskKind[] {
	const all = [...kinds.keys()].toSorted();
	const first = turn * judgedKinds;
	return all.length <= judgedKinds ? all : Array.from({length: judgedKinds}, (_, index) => all[(first + index) % all.length] ?? '');
}

/** Drops beliefs and observations that have ended. */
export function expirePace(state: PaceState, now: MonotonicTime): PaceStep {
	const next: PaceState = {
		windows: state.windows,
		groups: filterValues(state.groups, ({at}) => now - at < beliefMilliseconds),
		workers: filterValues(state.workers, ({until}) => now < until),
		kinds: filterValues(state.kinds, observations => now - (observations.at(-1)?.at ?? -Infinity) < beliefMilliseconds),
		interference: filterValues(state.interference, ({until}) => now < until),
		turn: state.turn,
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

/** Relates each pace to the usual one of its group. Paces are first divided by what is believed, so that a group on fast workers is not taken for usual. */
function compareWithGroups(state: PaceState, measurements: readonly Measurement[], now: MonotonicTime): Readonly<{groups: PaceState['groups']; observations: readonly Observation[]}> {
	const groups = new Map<ComparableGroup, GroupPaces>(state.groups);
	const usualSpeed = findUsualSpeed(state);
	const observations: Observation[] = [];
	for (const [group, measured] of groupBy(measurements, ({sample}) => sample.group)) {
		const paces = measured.map(measurement => comparePace(state, measurement, usualSpeed, now));
		const runs = new Set(paces.map(({run}) => run));
		const remembered = [...(groups.get(group)?.paces ?? []).filter(({run}) => !runs.has(run)), ...paces].slice(-Math.max(rememberedPaces, paces.length));
		const usual = findUsualPace(remembered);
		if (usual !== undefined) {
			observations.push(...measured.map(measurement => observe(measurement, usual, now)).filter(({logarithm}) => logarithm >= -Math.log(implausibleFactors.slow) && logarithm <= Math.log(implausibleFactors.fast)));
		}

		groups.set(group, {paces: remembered.slice(-rememberedPaces), at: now});
	}

	return {groups: keepLast(groups, ({at}) => at, rememberedGroups), observations};
}

/** Mean of the believed speeds. Speeds are multiples of it: relating paces to speeds, and speeds to paces, would otherwise let all of them drift together. */
function findUsualSpeed({workers}: PaceState): number {
	const logarithms = [...workers.values()].flatMap(({speed}) => speed === undefined ? [] : [Math.log(speed)]);
	return logarithms.length === 0 ? 1 : Math.exp(findUsualMean(logarithms));
}

function comparePace(state: PaceState, {sample, pace, neighbours = []}: Measurement, usualSpeed: number, now: MonotonicTime): ComparablePace {
	const speed = (estimateSpeed(state, sample.worker, now) ?? usualSpeed) / usualSpeed;
	const factor = neighbours.reduce((product, neighbour) => product * (state.interference.get(keyOfPair({kind: sample.kind, neighbour}))?.factor ?? 1), 1);
	return {run: keyOfRun(sample), worker: keyOfWorker(sample.worker), pace: pace / (speed * factor)};
}

/** Usual pace of a group: the mean over its workers, of which each counts once, without those that are far from the median. Undefined while there are few. */
function findUsualPace(paces: readonly ComparablePace[]): number | undefined {
	const byWorker = [...groupBy(paces, ({worker}) => worker).values()].map(runs => findMedian(runs.map(({pace}) => Math.log(pace))));
	return paces.length < comparableRuns || byWorker.length < comparableWorkers ? undefined : Math.exp(findUsualMean(byWorker));
}

function observe({sample, pace, neighbours}: Measurement, usual: number, now: MonotonicTime): Observation {
	return {
		run: keyOfRun(sample), worker: keyOfWorker(sample.worker), kind: sample.kind, neighbours, logarithm: Math.log(pace / usual), at: now,
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

function observeKinds(kinds: PaceState['kinds'], observations: readonly Observation[]): PaceState['kinds'] {
	const next = new Map(kinds);
	for (const [kind, group] of groupBy(observations.filter(({neighbours}) => neighbours !== undefined), observation => observation.kind)) {
		next.set(kind, replaceObservations(next.get(kind) ?? [], group.slice(-rememberedOfKind)).slice(-rememberedOfKind));
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
