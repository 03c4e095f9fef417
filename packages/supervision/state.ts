import type {Milliseconds, Step} from '#core';
import type {SupervisionEffect, SupervisionState} from './types.js';

export type SupervisionStep = Step<SupervisionState, SupervisionEffect>;

export type SupervisionOptions = Readonly<{
	/** Longest lease that the worker grants. */
	maximumLeaseMilliseconds: Milliseconds;
	/** Address of the worker beside the agent. */
	workerAddress: string;
}>;

/** Marks a change that must be reported to the scheduler. */
export function incrementRevision(state: SupervisionState): SupervisionState {
	return {...state, revision: state.revision + 1};
}

/** Schedules the next check, unless one is scheduled. */
export function scheduleCheck(state: SupervisionState, delay: Milliseconds): SupervisionStep {
	return state.isCheckScheduled ? {state, effects: []} : {state: {...state, isCheckScheduled: true}, effects: [{kind: 'schedule-check', delay}]};
}
