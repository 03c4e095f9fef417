import type {Step} from '#core';
import type {Respond, WorkerEffect, WorkerState} from './types.js';

export type WorkerStep = Step<WorkerState, WorkerEffect>;

export function respond(callback: Respond, status: number, body: unknown): WorkerEffect {
	return {kind: 'respond', respond: callback, reply: {kind: 'json', status, body}};
}

/** The answer to a call about a task that the worker does not know. */
export function respondTaskUnknown(state: WorkerState, callback: Respond): WorkerStep {
	return {state, effects: [respond(callback, 404, {reason: 'task-unknown'})]};
}
