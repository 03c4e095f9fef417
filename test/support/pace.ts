/** Plays runs on a few workers in virtual time and lets the scheduler's beliefs learn from them. */
import {createRandomSource, type WorkerId} from '#core';
import type {TaskName, WorkerIncarnation} from '#jobs';
import {
	createPaceState, recordPace, type BeliefChange, type PaceState, type RunSample,
} from '#pace';

export const observed = 'observed';
export const neighbour = 'neighbour';

export type PlayedRuns = Readonly<{
	workers?: number;
	rounds?: number;
	/** Rate of a run of the observed kind, in relation to a usual worker without the neighbour. */
	rateOf?: (place: Readonly<{worker: number; hasNeighbour: boolean; time: number; run: number}>) => number;
	/** Whether the neighbour runs on a worker in a round; by default on about half of them at random. */
	hasNeighbour?: (worker: number, round: number, random: () => number) => boolean;
	/** Further part of the name of the group that a worker's runs belong to. */
	groupOf?: (worker: number) => string;
	/** Percentage that is reported instead of the real one. */
	reportPercent?: (percent: number, worker: number) => number;
}>;

const roundMilliseconds = 10_000;
const sampleMilliseconds = 1000;
const taskMilliseconds = 9000;
const runsPerWorker = 2;

export function incarnationOf(worker: number, incarnation = '1'): WorkerIncarnation {
	return {worker: `w-${worker}` as WorkerId, incarnation};
}

/** In each round a step of the observed kind has two runs on each worker, which end or are dropped with it. */
export function playRuns({workers = 12, rounds = 4, rateOf = () => 1, hasNeighbour = (_worker, _round, random) => random() < 0.5, groupOf = () => '', reportPercent = percent => percent}: PlayedRuns): Readonly<{
	beliefs: PaceState; changes: readonly BeliefChange[]; time: number;
}> {
	const random = createRandomSource(3);
	const changes: BeliefChange[] = [];
	let beliefs = createPaceState();
	for (let round = 0; round < rounds; round++) {
		const runs = Array.from({length: workers}, (_, worker) => ({worker, isBeside: hasNeighbour(worker, round, random)}))
			.flatMap(place => Array.from({length: runsPerWorker}, (_, run) => ({
				...place, run, length: 1 + (0.15 * ((2 * random()) - 1)), percent: 0, isEnded: false,
			})));
		const start = round * roundMilliseconds;
		for (let time = start + sampleMilliseconds; time <= start + roundMilliseconds; time += sampleMilliseconds) {
			const samples = runs.filter(({isEnded}) => !isEnded).map((run): RunSample => {
				const rate = rateOf({
					worker: run.worker, hasNeighbour: run.isBeside, time, run: run.run,
				});
				run.percent = Math.min(100, run.percent + (sampleMilliseconds * 100 * rate / (taskMilliseconds * run.length)));
				run.isEnded = run.percent >= 100;
				return {
					task: `${round}.${run.worker}.${run.run}` as TaskName,
					run: 1,
					worker: incarnationOf(run.worker),
					group: `${round} ${groupOf(run.worker)}`,
					kind: observed,
					neighbours: run.isBeside ? [neighbour, observed] : [observed],
					percent: reportPercent(Math.floor(run.percent), run.worker),
					at: time,
					baseline: {percent: 0, at: start},
					isEnded: run.isEnded,
				};
			});
			const step = recordPace(beliefs, samples, time);
			beliefs = step.state;
			changes.push(...step.changes);
		}
	}

	return {beliefs, changes, time: rounds * roundMilliseconds};
}
