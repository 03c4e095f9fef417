/** Workers on which a task failed, got stuck or was not confirmed to have started: for a while, the task starts elsewhere or waits for room there; then it prefers others that have room. */
import type {MonotonicTime, WorkerId} from '#core';
import type {TaskName} from '#jobs';
import {rememberedAvoidances, taskAvoidanceMilliseconds} from './constants.js';
import type {SchedulerJob, TaskState} from './types.js';

export function avoidWorker(task: TaskState, worker: WorkerId, monotonic: MonotonicTime): TaskState {
	const earlierTimes = task.avoided.find(earlier => earlier.worker === worker)?.times ?? 0;
	// A run that got stuck and then ends as failed is one fault.
	const times = isAvoided(task, worker, monotonic) ? earlierTimes : earlierTimes + 1;
	const others = task.avoided.filter(earlier => earlier.worker !== worker).slice(1 - rememberedAvoidances);
	return {...task, avoided: [...others, {worker, until: monotonic + taskAvoidanceMilliseconds, times}]};
}

export function isAvoided(task: TaskState | undefined, worker: WorkerId, monotonic: MonotonicTime): boolean {
	return task?.avoided.some(avoided => avoided.worker === worker && monotonic < avoided.until) === true;
}

/** Position of a worker among those that the task avoided, the latest one last; -1 if it never avoided it. */
export function findAvoidance({avoided}: TaskState, worker: WorkerId): number {
	return avoided.findIndex(earlier => earlier.worker === worker);
}

/** Lists the workers that the tasks avoided more than once: all of the tasks, or one of a gang's. */
export function listRepeatedlyAvoided({tasks}: SchedulerJob, names: readonly TaskName[], isGang: boolean): ReadonlySet<WorkerId> {
	const listWorkers = (name: TaskName | undefined) => name === undefined ? [] : (tasks.get(name)?.avoided ?? []).filter(({times}) => times > 1).map(({worker}) => worker);
	if (isGang) {
		return new Set(names.flatMap(name => listWorkers(name)));
	}

	return new Set(listWorkers(names[0]).filter(worker => names.every(name => listWorkers(name).includes(worker))));
}
