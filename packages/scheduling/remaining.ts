/** How long runs will still take, and how far estimates are off. */
import type {Milliseconds, MonotonicTime} from '#core';
import type {JobStep} from '#jobs';
import {stepOf} from './state.js';
import type {SchedulerJob, TaskRun} from './types.js';

/** Progress below this says little about the pace of a run. */
const smallestUsefulPercent = 4;

/** Estimates the rest of a run from its pace, or from the caller's estimate while it has made little progress. */
export function estimateRemaining({percent, startedAt, progressedAt, paceFrom}: TaskRun, {estimatedMilliseconds, isLongRunning}: JobStep, monotonic: MonotonicTime): Milliseconds {
	if (isLongRunning) {
		return Infinity;
	}

	const duration = projectDuration({percent, progressedAt, paceFrom});
	return duration === undefined
		? Math.max(0, (estimatedMilliseconds * (100 - paceFrom.percent) / 100) - (monotonic - startedAt))
		: Math.max(0, (duration * (100 - percent) / 100) - (monotonic - progressedAt));
}

/** Projects how long the whole task takes from the pace of a run; undefined while it has made little progress. */
export function projectDuration({percent, progressedAt, paceFrom}: Pick<TaskRun, 'percent' | 'progressedAt' | 'paceFrom'>): Milliseconds | undefined {
	const gained = percent - paceFrom.percent;
	return gained < smallestUsefulPercent ? undefined : (progressedAt - paceFrom.at) * 100 / gained;
}

/** How many times as long as estimated the tasks of a job take. The fastest run counts, since others may be on slow workers. */
export function estimateSlowdown(job: SchedulerJob): number | undefined {
	const factors = [...job.tasks].flatMap(([name, {run}]) => {
		const duration = run === undefined ? undefined : projectDuration(run);
		const estimate = duration === undefined ? 0 : stepOf(job, name)?.estimatedMilliseconds ?? 0;
		return duration === undefined || estimate <= 0 ? [] : [duration / estimate];
	});
	return factors.length === 0 ? job.slowness : Math.max(1, Math.min(...factors));
}
