/** Remaining time of runs, and the deviation of durations from the caller's estimates. */
import type {Milliseconds, MonotonicTime} from '#core';
import type {JobStep} from '#jobs';
import type {SchedulerJob, TaskRun} from './types.js';

/** Less progress than this is no basis for a projection. */
const smallestUsefulPercent = 4;

/** Estimates the remaining time of a run from its pace, or from the caller's estimate while there is little progress. */
export function estimateRemaining({percent, startedAt, progressedAt, paceBaseline}: TaskRun, {estimatedMilliseconds, isLongRunning}: JobStep, monotonic: MonotonicTime): Milliseconds {
	if (isLongRunning) {
		return Infinity;
	}

	const duration = projectDuration({percent, progressedAt, paceBaseline});
	return duration === undefined
		? Math.max(0, (estimatedMilliseconds * (100 - paceBaseline.percent) / 100) - (monotonic - startedAt))
		: Math.max(0, (duration * (100 - percent) / 100) - (monotonic - progressedAt));
}

/** Projects the duration of the whole task from the pace of a run; undefined while there is little progress. */
export function projectDuration({percent, progressedAt, paceBaseline}: Pick<TaskRun, 'percent' | 'progressedAt' | 'paceBaseline'>): Milliseconds | undefined {
	const gained = percent - paceBaseline.percent;
	return gained < smallestUsefulPercent ? undefined : (progressedAt - paceBaseline.at) * 100 / gained;
}

/** Estimates the ratio of actual to estimated duration of a job's tasks. The fastest run counts, since others may be on slow workers. */
export function estimateSlowdown({tasks, submission: {request: {steps}}, slowdown}: SchedulerJob): number | undefined {
	let smallest = Infinity;
	for (const {run, stepIndex} of tasks.values()) {
		const duration = run === undefined ? undefined : projectDuration(run);
		const estimate = steps[stepIndex]?.estimatedMilliseconds ?? 0;
		if (duration !== undefined && estimate > 0) {
			smallest = Math.min(smallest, duration / estimate);
		}
	}

	return smallest === Infinity ? slowdown : Math.max(1, smallest);
}
