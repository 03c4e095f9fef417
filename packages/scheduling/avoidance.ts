/** Workers on which a task failed, got stuck or was not confirmed to have started: for a while, the task starts elsewhere or waits for room there; then it prefers others that have room. */
import type {MonotonicTime, WorkerId} from '#core';
import type {TaskName} from '#jobs';
import {rememberedAvoidances, taskAvoidanceMilliseconds} from './constants.js';
import type {SchedulerJob, TaskState} from './types.js';

export function avoidWorker(task: TaskState, worker: WorkerId, monotonic: MonotonicTime): TaskState {
	const times = task.avoided.find(earlier => earlier.worker === worker)?.times ?? 0;
	const others = task.avoided.filter(earlier => earlier.worker !== worker).slice(1 - rememberedAvoidances);
	return {...task, avoided: [...others, {worker, until: monotonic + taskAvoidanceMilliseconds, times: times + 1}]};
}

export function isAvoided(task: TaskState | undefined, worker: WorkerId, monotonic: MonotonicTime): boolean {
	return task?.avoided.some(avoided => avoided.worker === worker && monotonic < avoided.until) === true;
}

/** Position of a worker among those that the task avoided, the latest one last; -1 if it never avoided it. */
export function findAvoidance({avoided}: TaskState, worker: WorkerId): number {
	return avoided.findIndex(earlier => earlier.worker === worker);
}

/** Lists the workers that one of the tasks avoided more than once. */
export function listRepeatedlyAvoided({tasks}: SchedulerJob, names: readonly TaskName[]): ReadonlySet<WorkerId> {
	return new Set(names.flatMap(name => tasks.get(name)?.avoided ?? []).filter(({times}) => times > 1).map(({worker}) => worker));
}
