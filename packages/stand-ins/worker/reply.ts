import type {Step} from '#core';
import type {Respond, WorkerEffect, WorkerState} from './types.js';

export type WorkerStep = Step<WorkerState, WorkerEffect>;

export function respond(callback: Respond, status: number, body: unknown): WorkerEffect {
	return {kind: 'respond', respond: callback, reply: {kind: 'json', status, body}};
}

/** Replies 404 to a call about an unknown task. */
export function respondTaskUnknown(state: WorkerState, callback: Respond): WorkerStep {
	return {state, effects: [respond(callback, 404, {reason: 'task-unknown'})]};
}
