/** Limits for low-rank work that cannot save its progress: its duration is unknown, and a stop discards it. */
import type {Resources} from '#jobs';
import {
	compareFit, listOutsideClosedZones, type Pool, type PoolWorker,
} from './pool.js';
import {
	longTaskWorkerShare, lowRankThreshold, lowRankWorkerShare, lowUtilizationShare, probeTaskCount,
} from './constants.js';
import type {SchedulerJob} from './types.js';
import type {SchedulingUnit} from './units.js';

/** Number of runs of all steps of the unit's job. */
export function countRuns({job}: SchedulingUnit): number {
	return job.counts.running;
}

/** Whether the unit has a low rank, cannot be stopped without discarding work, and ends by itself. Long-running work is not limited: each of its tasks is expected to run wherever there is room, and it never shows a pace. */
export function isLowRankWithoutCheckpoints({rank, step}: Pick<SchedulingUnit, 'rank' | 'step'>): boolean {
	return rank > lowRankThreshold && !step.isCheckpointing && !step.isLongRunning;
}

/** Whether the utilization of every resource of the pool is low. */
export function isUtilizationLow(pool: Pool): boolean {
	const workers = listOutsideClosedZones(pool);
	const measureUtilization = (selectAmount: (resources: Resources) => number) => {
		const capacity = workers.reduce((total, {worker}) => total + selectAmount(worker.snapshot.capacity), 0);
		const free = workers.reduce((total, worker) => total + selectAmount(worker.free), 0);
		return capacity === 0 ? 0 : (capacity - free) / capacity;
	};

	return Math.max(
		measureUtilization(({processorMillicores}) => processorMillicores),
		measureUtilization(({memoryMegabytes}) => memoryMegabytes),
		measureUtilization(({accelerators}) => accelerators),
	) < lowUtilizationShare;
}

/** Starts wide work with a few tasks, since a job that takes much longer than declared would occupy its workers for long. */
export function limitToProbeTasks(unit: SchedulingUnit): SchedulingUnit {
	const {job, step, tasks} = unit;
	if (job.slowdown !== undefined || step.count <= probeTaskCount || !isLowRankWithoutCheckpoints(unit)) {
		return unit;
	}

	return {...unit, tasks: tasks.slice(0, Math.max(0, probeTaskCount - countRuns(unit)))};
}

/** Limits low-rank work that cannot save its progress: prefers workers that already run some and adds others up to the share. A job without runs may use one more. */
export function limitToShare(unit: SchedulingUnit, candidates: readonly PoolWorker[], pool: Pool): readonly PoolWorker[] {
	const hasLowRankRun = ({runs}: PoolWorker) => runs.some(run => isLowRankWithoutCheckpoints(run));
	const {job, isLong} = unit;
	const limit = Math.ceil(listOutsideClosedZones(pool).length * (isLong ? longTaskWorkerShare : lowRankWorkerShare)) + (countRuns(unit) > 0 ? 0 : 1);
	const occupied = candidates.filter(candidate => hasLowRankRun(candidate));
	const others = candidates.filter(candidate => !hasLowRankRun(candidate)).toSorted(compareFit);
	return isLong ? limitToOwnWorkers(job, [...occupied, ...others], limit) : [...occupied, ...others.slice(0, Math.max(0, limit - occupied.length))];
}

/** Prefers workers that already run the job and adds others up to the limit. */
function limitToOwnWorkers(job: SchedulerJob, candidates: readonly PoolWorker[], limit: number): readonly PoolWorker[] {
	const isOwn = ({runs}: PoolWorker) => runs.some(run => run.job.submission.job === job.submission.job);
	const own = candidates.filter(candidate => isOwn(candidate));
	return [...own, ...candidates.filter(candidate => !isOwn(candidate))].slice(0, limit);
}
