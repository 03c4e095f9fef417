import type {CurrentTime} from '#kernel';
import {extendLease} from './leases.js';
import {respond, respondTaskUnknown, type WorkerStep} from './reply.js';
import type {WorkerMessage, WorkerState} from './types.js';

/** Replies when the task has ended or the wait times out. */
export function waitForTask(state: WorkerState, message: Extract<WorkerMessage, {kind: 'wait'}>, time: CurrentTime): WorkerStep {
	const {taskId, milliseconds, leaseMilliseconds, respond: callback} = message;
	const known = state.tasks.get(taskId);
	if (known === undefined) {
		return respondTaskUnknown(state, callback);
	}

	if (known.state !== 'running') {
		return {state, effects: [respond(callback, 200, known)]};
	}

	const task = leaseMilliseconds === undefined ? known : extendLease(known, leaseMilliseconds, time);
	const tasks = new Map(state.tasks).set(taskId, task);
	if (milliseconds <= 0) {
		return {state: {...state, tasks}, effects: [respond(callback, 200, task)]};
	}

	const waiterId = state.nextWaiterId;
	return {
		state: {
			...state, tasks, nextWaiterId: waiterId + 1, waiting: [...state.waiting, {taskId, waiterId, respond: callback}],
		},
		effects: [{kind: 'schedule', delay: milliseconds, message: {kind: 'wait-ended', waiterId}}],
	};
}

/** Replies to a timed-out wait with the current task. */
export function respondToWaiter(state: WorkerState, waiterId: number): WorkerStep {
	const waiter = state.waiting.find(waiting => waiting.waiterId === waiterId);
	if (waiter === undefined) {
		return {state, effects: []};
	}

	const next = {...state, waiting: state.waiting.filter(waiting => waiting !== waiter)};
	return {state: next, effects: state.switches.hang ? [] : [respond(waiter.respond, 200, state.tasks.get(waiter.taskId))]};
}
