/** Workers on which a task failed, got stuck or was not confirmed to have started: for a while, the task starts elsewhere or waits for room there; then it prefers others that have room. */
import type {MonotonicTime, WorkerId} from '#core';
import {rememberedAvoidances, taskAvoidanceMilliseconds} from './constants.js';
import type {TaskState} from './types.js';

export function avoidWorker(task: TaskState, worker: WorkerId, monotonic: MonotonicTime): TaskState {
	const others = task.avoided.filter(earlier => earlier.worker !== worker);
	return {...task, avoided: [...others.slice(1 - rememberedAvoidances), {worker, until: monotonic + taskAvoidanceMilliseconds}]};
}

export function isAvoided(task: TaskState | undefined, worker: WorkerId, monotonic: MonotonicTime): boolean {
	return task?.avoided.some(avoided => avoided.worker === worker && monotonic < avoided.until) === true;
}

/** Orders workers from those that the task never avoided to the one that it avoided last. */
export function compareAvoidance({avoided}: TaskState, first: WorkerId, second: WorkerId): number {
	const findPosition = (worker: WorkerId) => avoided.findIndex(earlier => earlier.worker === worker);
	return findPosition(first) - findPosition(second);
}
