/** Workers on which a task failed, got stuck or was not confirmed to have started: for a while, the task starts elsewhere or waits for room there. */
import type {MonotonicTime, WorkerId} from '#core';
import {taskAvoidanceMilliseconds} from './constants.js';
import type {TaskState} from './types.js';

export function avoidWorker(task: TaskState, worker: WorkerId, monotonic: MonotonicTime): TaskState {
	const others = task.avoided.filter(earlier => earlier.worker !== worker && monotonic < earlier.until);
	return {...task, avoided: [...others, {worker, until: monotonic + taskAvoidanceMilliseconds}]};
}

export function isAvoided(task: TaskState | undefined, worker: WorkerId, monotonic: MonotonicTime): boolean {
	return task?.avoided.some(avoided => avoided.worker === worker && monotonic < avoided.until) === true;
}
