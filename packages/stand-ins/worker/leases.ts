import type {CurrentTime} from '#kernel';
import {endTask} from './end-task.js';
import {respond, type WorkerStep} from './reply.js';
import type {WorkerMessage, WorkerState, WorkerTask} from './types.js';

/** Extends the lease of a running task; never shortens it. */
export function extendLease(task: WorkerTask, leaseMilliseconds: number, {monotonic}: CurrentTime): WorkerTask {
	return {...task, leaseUntil: Math.max(task.leaseUntil, monotonic + leaseMilliseconds)};
}

/** Renews the leases of several tasks; the reply lists those that are not running. */
export function renewTasks(state: WorkerState, {renewal, respond: callback}: Extract<WorkerMessage, {kind: 'renew'}>, time: CurrentTime): WorkerStep {
	const tasks = new Map(state.tasks);
	const lapsed: string[] = [];
	for (const taskId of renewal.taskIds) {
		const task = tasks.get(taskId);
		if (task?.state === 'running') {
			tasks.set(taskId, extendLease(task, renewal.leaseMilliseconds, time));
		} else {
			lapsed.push(taskId);
		}
	}

	return {state: {...state, tasks}, effects: [respond(callback, 200, {lapsed})]};
}

/** Stops a task whose lease has expired, or schedules the next check. */
export function checkLease(state: WorkerState, taskId: string, time: CurrentTime): WorkerStep {
	const task = state.tasks.get(taskId);
	if (task?.state !== 'running') {
		return {state, effects: []};
	}

	const remaining = task.leaseUntil - time.monotonic;
	return remaining > 0
		? {state, effects: [{kind: 'schedule', delay: remaining, message: {kind: 'lease-due', taskId}}]}
		: endTask(state, {...task, body: {reason: 'lease-lapsed'}}, 'stopped', time);
}
