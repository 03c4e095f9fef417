import {assertNever, type Step} from '#core';
import type {Present} from '#kernel';
import type {
	Respond, WorkerEffect, WorkerMessage, WorkerState, WorkerTask,
} from './types.js';

export const initialWorkerState: WorkerState = {tasks: new Map(), waiting: []};

type WorkerStep = Step<WorkerState, WorkerEffect>;

/** Decisions of the stand-in worker. */
export function receiveWorkerMessage(state: WorkerState, message: WorkerMessage, {now}: Present): WorkerStep {
	switch (message.kind) {
		case 'start': {
			return startWorkerTask(state, message, now);
		}

		case 'wait': {
			return waitForTask(state, message.taskId, message.respond);
		}

		case 'ended': {
			return endTask(state, message, now);
		}

		case 'list': {
			return {state, effects: [respond(message.respond, 200, {tasks: [...state.tasks.values()]})]};
		}

		default: {
			return assertNever(message);
		}
	}
}

function respond(callback: Respond, status: number, body: unknown): WorkerEffect {
	return {kind: 'respond', respond: callback, reply: {kind: 'json', status, body}};
}

function startWorkerTask(state: WorkerState, message: Extract<WorkerMessage, {kind: 'start'}>, now: number): WorkerStep {
	const {taskId, payload} = message.task;
	if (state.tasks.has(taskId)) {
		return {state, effects: [respond(message.respond, 409, {reason: 'task-exists'})]};
	}

	const {milliseconds = 10, fail = false} = (payload ?? {}) as Readonly<{milliseconds?: number; fail?: boolean}>;
	const task: WorkerTask = {taskId, state: 'running', startedAt: now};
	return {
		state: {...state, tasks: new Map(state.tasks).set(taskId, task)},
		effects: [
			respond(message.respond, 201, task),
			{
				kind: 'schedule-end', taskId, delay: milliseconds, body: {echo: payload}, state: fail ? 'failed' : 'succeeded',
			},
		],
	};
}

function waitForTask(state: WorkerState, taskId: string, callback: Respond): WorkerStep {
	const task = state.tasks.get(taskId);
	if (task === undefined) {
		return {state, effects: [respond(callback, 404, {reason: 'task-unknown'})]};
	}

	return task.state === 'running'
		? {state: {...state, waiting: [...state.waiting, {taskId, respond: callback}]}, effects: []}
		: {state, effects: [respond(callback, 200, task)]};
}

function endTask(state: WorkerState, message: Extract<WorkerMessage, {kind: 'ended'}>, now: number): WorkerStep {
	const task = state.tasks.get(message.taskId);
	if (task?.state !== 'running') {
		return {state, effects: []};
	}

	const ended: WorkerTask = {
		...task, state: message.state, endedAt: now, body: message.body,
	};
	return {
		state: {
			tasks: new Map(state.tasks).set(task.taskId, ended),
			waiting: state.waiting.filter(({taskId}) => taskId !== task.taskId),
		},
		effects: state.waiting.filter(({taskId}) => taskId === task.taskId).map(waiting => respond(waiting.respond, 200, ended)),
	};
}
