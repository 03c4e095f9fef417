/** Bounds on work of low ranks that cannot save its progress: nobody knows how long it lasts, and stopping it throws it away. */
import type {Resources} from '#jobs';
import type {Pool, PoolWorker} from './pool.js';
import {
	longTaskWorkerShare, lowestUrgentRank, lowRankWorkerShare, lowUtilizationShare, probeTaskCount,
} from './constants.js';
import type {SchedulerJob} from './types.js';
import type {SchedulingUnit} from './units.js';

/** Runs of all steps of the unit's job. */
export function countRuns({job}: SchedulingUnit): number {
	return [...job.tasks.values()].filter(({run}) => run !== undefined).length;
}

/** Whether the unit is of a low rank and cannot be stopped without throwing work away. */
export function isLowRankWithoutCheckpoints({rank, step}: Pick<SchedulingUnit, 'rank' | 'step'>): boolean {
	return rank > lowestUrgentRank && !step.isCheckpointing;
}

/** Whether little of every resource of the pool is in use. */
export function isUtilizationLow(board: Pool): boolean {
	const workers = [...board.values()];
	const usedShare = (amountOf: (resources: Resources) => number) => {
		const capacity = workers.reduce((total, {worker}) => total + amountOf(worker.snapshot.capacity), 0);
		const free = workers.reduce((total, worker) => total + amountOf(worker.free), 0);
		return capacity === 0 ? 0 : (capacity - free) / capacity;
	};

	return Math.max(
		usedShare(({processorMillicores}) => processorMillicores),
		usedShare(({memoryMegabytes}) => memoryMegabytes),
		usedShare(({accelerators}) => accelerators),
	) < lowUtilizationShare;
}

/** Starts wide work with a few tasks, since a job that turns out much longer than declared would hold the workers that it has taken for long. */
export function limitToProbeTasks(unit: SchedulingUnit): SchedulingUnit {
	const {job, step, tasks} = unit;
	if (job.slowness !== undefined || step.count <= probeTaskCount || !isLowRankWithoutCheckpoints(unit)) {
		return unit;
	}

	return {...unit, tasks: tasks.slice(0, Math.max(0, probeTaskCount - countRuns(unit)))};
}

/** Work of a low rank goes where such work is already, and to further workers up to its share; a job of which nothing runs may take one more. */
export function limitToShare(unit: SchedulingUnit, candidates: readonly PoolWorker[], board: Pool): readonly PoolWorker[] {
	const isTaken = ({runs}: PoolWorker) => runs.some(run => isLowRankWithoutCheckpoints(run));
	const {job, isLong} = unit;
	const limit = Math.ceil(board.size * (isLong ? longTaskWorkerShare : lowRankWorkerShare)) + (countRuns(unit) > 0 ? 0 : 1);
	const taken = candidates.filter(candidate => isTaken(candidate));
	const others = candidates.filter(candidate => !isTaken(candidate)).toSorted((first, second) => first.free.accelerators - second.free.accelerators);
	return isLong ? limitToOwnWorkers(job, [...taken, ...others], limit) : [...taken, ...others.slice(0, Math.max(0, limit - taken.length))];
}

/** The workers on which the job runs already, and the first others up to its limit. */
function limitToOwnWorkers(job: SchedulerJob, candidates: readonly PoolWorker[], limit: number): readonly PoolWorker[] {
	const isOwn = ({runs}: PoolWorker) => runs.some(run => run.job.submission.job === job.submission.job);
	const own = candidates.filter(candidate => isOwn(candidate));
	return [...own, ...candidates.filter(candidate => !isOwn(candidate))].slice(0, limit);
}
