import type {CurrentTime} from '#kernel';
import {endTask} from './end-task.js';
import {respond, respondTaskUnknown, type WorkerStep} from './reply.js';
import type {WorkerMessage, WorkerState, WorkerTask} from './types.js';

/** Maximum number of tombstones of withdrawn tasks; the newest are retained. */
const maximumWithdrawnTasks = 10_000;

/** Remaining run time at full speed. */
function computeRemaining({remainingMilliseconds, progressAt, share}: WorkerTask, {monotonic}: CurrentTime): number {
	return Math.max(0, remainingMilliseconds - ((monotonic - progressAt) * share));
}

/** Checkpoints a running task without stopping it; the reply contains the checkpoint. */
export function checkpointTask(state: WorkerState, {taskId, respond: callback}: Extract<WorkerMessage, {kind: 'checkpoint'}>, time: CurrentTime): WorkerStep {
	const task = state.tasks.get(taskId);
	if (task === undefined) {
		return respondTaskUnknown(state, callback);
	}

	if (task.state !== 'running') {
		return {state, effects: [respond(callback, 200, task)]};
	}

	const saved: WorkerTask = {...task, checkpoint: {remainingMilliseconds: computeRemaining(task, time)}};
	return {state: {...state, tasks: new Map(state.tasks).set(taskId, saved)}, effects: [respond(callback, 200, saved)]};
}

/** Throttles a running task to a share of its full speed. */
export function throttleTask(state: WorkerState, message: Extract<WorkerMessage, {kind: 'throttle'}>, time: CurrentTime): WorkerStep {
	const {taskId, share, respond: callback} = message;
	const task = state.tasks.get(taskId);
	if (task === undefined) {
		return respondTaskUnknown(state, callback);
	}

	if (task.state !== 'running') {
		return {state, effects: [respond(callback, 200, task)]};
	}

	const remainingMilliseconds = computeRemaining(task, time);
	const throttled: WorkerTask = {
		...task, remainingMilliseconds, progressAt: time.monotonic, share, generation: task.generation + 1,
	};
	return {
		state: {...state, tasks: new Map(state.tasks).set(taskId, throttled)},
		effects: [
			respond(callback, 200, throttled),
			{kind: 'schedule', delay: remainingMilliseconds / share, message: {kind: 'run-ended', taskId, generation: throttled.generation}},
		],
	};
}

/** Stops a running task at once. For an unknown task it records a tombstone, so that a delayed start is rejected. */
export function stopTask(state: WorkerState, {taskId, respond: callback}: Extract<WorkerMessage, {kind: 'stop'}>, time: CurrentTime): WorkerStep {
	const task = state.tasks.get(taskId);
	if (task === undefined) {
		const withdrawn = new Set([...state.withdrawn].slice(-maximumWithdrawnTasks)).add(taskId);
		return {state: {...state, withdrawn}, effects: [respond(callback, 200, {taskId, state: 'never-started'})]};
	}

	const step = task.state === 'running' ? endTask(state, task, 'stopped', time) : {state, effects: []};
	return {...step, effects: [...step.effects, respond(callback, 200, step.state.tasks.get(taskId))]};
}
