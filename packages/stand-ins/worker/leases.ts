import type {Present} from '#kernel';
import {endTask} from './end-task.js';
import {respond, type WorkerStep} from './reply.js';
import type {WorkerMessage, WorkerState, WorkerTask} from './types.js';

/** Extends the lease of a running task; a lease is never shortened. */
export function extendLease(task: WorkerTask, leaseMilliseconds: number, {monotonic}: Present): WorkerTask {
	return {...task, leaseUntil: Math.max(task.leaseUntil, monotonic + leaseMilliseconds)};
}

/** Renews the leases of several tasks; the answer names those that do not run. */
export function renewTasks(state: WorkerState, {renewal, respond: callback}: Extract<WorkerMessage, {kind: 'renew'}>, present: Present): WorkerStep {
	const tasks = new Map(state.tasks);
	const lapsed: string[] = [];
	for (const taskId of renewal.taskIds) {
		const task = tasks.get(taskId);
		if (task?.state === 'running') {
			tasks.set(taskId, extendLease(task, renewal.leaseMilliseconds, present));
		} else {
			lapsed.push(taskId);
		}
	}

	return {state: {...state, tasks}, effects: [respond(callback, 200, {lapsed})]};
}

/** Stops a task whose lease was not renewed in time. */
export function checkLease(state: WorkerState, taskId: string, present: Present): WorkerStep {
	const task = state.tasks.get(taskId);
	if (task?.state !== 'running') {
		return {state, effects: []};
	}

	const left = task.leaseUntil - present.monotonic;
	return left > 0
		? {state, effects: [{kind: 'schedule', delay: left, message: {kind: 'lease-due', taskId}}]}
		: endTask(state, {...task, body: {reason: 'lease-lapsed'}}, 'stopped', present);
}
