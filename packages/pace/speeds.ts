/** Speeds of workers, in relation to the usual one. */
import {groupBy, type MonotonicTime} from '#core';
import type {WorkerIncarnation} from '#jobs';
import {
	beliefMilliseconds, newestObservations, rememberedObservations, slowBeliefMilliseconds, slowSpeed, speedObservations, speedStepFactor,
} from './constants.js';
import {findUsualMean} from './statistics.js';
import type {
	Interference, Observation, PaceState, WorkerKey, WorkerPace,
} from './types.js';
import {areSameNeighbours} from './windows.js';

export function keyOfWorker({worker, incarnation}: WorkerIncarnation): WorkerKey {
	return `${worker} ${incarnation}`;
}

/** Key of a pair of kinds in `PaceState.interference`. */
export function keyOfPair({kind, neighbour}: Pick<Interference, 'kind' | 'neighbour'>): string {
	return `${kind} | ${neighbour}`;
}

/**
Estimates the speed of a worker; undefined without a belief.

Addresses gangs on workers of unequal speed, which progress at the pace of the slowest one.

@example
```
estimateSpeed(pace, {worker, incarnation}, monotonic);
//=> 0.8
```
*/
export function estimateSpeed({workers}: PaceState, worker: WorkerIncarnation, now: MonotonicTime): number | undefined {
	const known = workers.get(keyOfWorker(worker));
	return known !== undefined && now < known.until ? known.speed : undefined;
}

/** Whether a speed is far below that of usual workers. */
export function isSlow(speed: number | undefined): boolean {
	return speed !== undefined && speed < slowSpeed;
}

/** Rounds a speed to a step: -1, 0 and 1 for 0.8, 1 and 1.25. A worker without a belief counts as usual. */
export function findSpeedStep(speed: number | undefined): number {
	return speed === undefined ? 0 : Math.round(Math.log(speed) / Math.log(speedStepFactor));
}

/** Adds observations; a run counts once for each set of neighbours. */
export function replaceObservations(earlier: readonly Observation[], added: readonly Observation[]): readonly Observation[] {
	const addedByRun = groupBy(added, ({run}) => run);
	const isReplaced = ({run, neighbours}: Observation) => addedByRun.get(run)?.some(other => areSameNeighbours(other.neighbours, neighbours)) === true;
	return [...earlier.filter(observation => !isReplaced(observation)), ...added];
}

/** Logarithm of an observation without the effect of its neighbours, as far as that is known. */
export function correctObservation({logarithm, kind, neighbours}: Observation, interference: PaceState['interference']): number {
	return neighbours === undefined || interference.size === 0
		? logarithm
		: neighbours.reduce((total, neighbour) => total - Math.log(interference.get(keyOfPair({kind, neighbour}))?.factor ?? 1), logarithm);
}

type ObservationContext = Readonly<{interference: PaceState['interference']; now: MonotonicTime}>;

/** Adds observations of a worker, and estimates its speed from the newest one of each run. */
export function observeWorker(worker: WorkerIncarnation, known: WorkerPace | undefined, added: readonly Observation[], context: ObservationContext): WorkerPace {
	const {interference, now} = context;
	const earlier = (known?.observations ?? []).filter(({at}) => now - at < beliefMilliseconds);
	const observations = replaceObservations(earlier, added).slice(-rememberedObservations);
	const newestOfRuns = [...new Map(observations.map(observation => [observation.run, observation])).values()];
	const logarithms = newestOfRuns.map(observation => correctObservation(observation, interference));
	const speed = logarithms.length < speedObservations ? undefined : findSpeed(logarithms);
	return {
		worker, observations, speed, until: now + (isSlow(speed) ? slowBeliefMilliseconds : beliefMilliseconds),
	};
}

/** The mean of all observations, or of the newest ones if these show that the worker turned slow or is no longer slow. */
function findSpeed(logarithms: readonly number[]): number {
	const speed = Math.exp(findUsualMean(logarithms));
	const newest = Math.exp(findUsualMean(logarithms.slice(-newestObservations)));
	return isSlow(speed) === isSlow(newest) ? speed : newest;
}
