import {type ExecutionStep, refuseQueued} from './answers.js';
import type {ExecutionState, CurrentTime} from './types.js';

/** Stops accepting requests. Queued ones are refused, so that the entry can dispatch them elsewhere; running ones finish. */
export function startDraining(state: ExecutionState, time: CurrentTime): ExecutionStep {
	if (state.phase !== 'serving') {
		return {state, effects: []};
	}

	let step: ExecutionStep = {state: {...state, phase: 'draining'}, effects: []};
	for (const {classes} of state.queue.plans.values()) {
		for (const item of [...classes.short.items, ...classes.long.items]) {
			step = refuseQueued(step, item, 'draining', time);
		}
	}

	return reportIfDrained(step);
}

/** Reports once that a draining agent has answered its last request. */
export function reportIfDrained({state, effects}: ExecutionStep): ExecutionStep {
	return state.phase === 'draining' && state.queue.running.size === 0 && state.queue.queued === 0
		? {state: {...state, phase: 'drained'}, effects: [...effects, {kind: 'report-drained'}]}
		: {state, effects};
}
