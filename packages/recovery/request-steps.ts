import type {
	RefusalReason, RequestWork, Step, Timestamp, WorkerId,
} from '#core';
import {maximumDispatches, maximumRequestMilliseconds} from './constants.js';
import {deriveOutcome} from './outcome.js';
import type {
	DispatchState, Ending, RequestEffect, RequestState, Target,
} from './types.js';

export type RequestStep = Step<RequestState, RequestEffect>;

/** Creates the state of a request before submission. */
export function createRequestState(work: RequestWork, isRetry: boolean): RequestState {
	return {
		work,
		isRetry,
		phase: {kind: 'new'},
		dispatches: [],
		calls: 0,
		retries: 0,
		claim: undefined,
		isClaimWithdrawn: false,
		ending: undefined,
		answered: undefined,
	};
}

/** Whether the caller was answered and no dispatch is in flight that could change the outcome. */
export function isSettled(state: RequestState): boolean {
	return state.phase.kind === 'concluded' && !state.dispatches.some(dispatch => dispatch.state.kind === 'sent');
}

/** Time until the request reaches its deadline. */
export function calculateDeadlineDelay({latestUsefulAt}: RequestWork, now: Timestamp): number {
	return latestUsefulAt === undefined ? maximumRequestMilliseconds : Math.max(0, Math.min(maximumRequestMilliseconds, latestUsefulAt - now));
}

/** Whether an earlier or concurrent submission of the identifier may have run through another entry. */
function mayHaveRunElsewhere({work, claim, isRetry, isClaimWithdrawn}: RequestState): boolean {
	if (work.idempotent || claim === undefined) {
		return isRetry;
	}

	return !claim.isOwner || (isRetry && !isClaimWithdrawn);
}

/** Answers the caller once. A known outcome that arrives later replaces a recorded `unknown` without a second answer. */
export function conclude(state: RequestState, cause?: RefusalReason): RequestStep {
	const outcome = deriveOutcome(state.dispatches, mayHaveRunElsewhere(state), cause ?? state.ending?.reason);
	if (state.answered === undefined) {
		return {state: {...state, phase: {kind: 'concluded'}, answered: outcome}, effects: [{kind: 'answer', outcome}]};
	}

	const isNowKnown = state.answered.kind === 'unknown' && outcome.kind !== 'unknown';
	return isNowKnown
		? {state: {...state, answered: outcome}, effects: [{kind: 'record', outcome}]}
		: {state, effects: []};
}

/** Updates the state of a dispatch unless it is final. */
export function settleDispatch(state: RequestState, dispatch: number, next: DispatchState): RequestState {
	const current = state.dispatches[dispatch];
	if (current?.state.kind !== 'sent' && current?.state.kind !== 'lost') {
		return state;
	}

	return {...state, dispatches: state.dispatches.with(dispatch, {...current, state: next})};
}

/** Selects a target, excluding the workers that this request was already dispatched to. */
export function chooseTarget(state: RequestState): RequestStep {
	const excluded = state.dispatches.flatMap(({target}): readonly WorkerId[] => target.kind === 'agent' ? [target.place.worker] : []);
	const mayForward = !state.dispatches.some(({target}) => target.kind === 'entry');
	return {state: {...state, phase: {kind: 'choosing'}}, effects: [{kind: 'choose', excluded, mayForward}]};
}

/** Creates a dispatch to a target and calls it. */
export function dispatchTo(state: RequestState, target: Target): RequestStep {
	return callTarget({...state, dispatches: [...state.dispatches, {target, state: {kind: 'sent'}, calls: 0}]}, state.dispatches.length);
}

/** Calls the target of a dispatch. Repeated calls to the same place are safe because the agent runs an identifier once. */
export function callTarget(state: RequestState, dispatch: number): RequestStep {
	const current = state.dispatches[dispatch];
	if (current === undefined) {
		return conclude(state);
	}

	const call = state.calls + 1;
	return {
		state: {
			...state, calls: call, phase: {kind: 'dispatched'}, dispatches: state.dispatches.with(dispatch, {...current, state: {kind: 'sent'}, calls: current.calls + 1}),
		},
		effects: [{
			kind: 'dispatch', dispatch, call, target: current.target,
		}],
	};
}

/** Withdraws the last dispatch at the place that may run it. */
export function withdraw(state: RequestState, next: 'move' | 'conclude', reason: RefusalReason): RequestStep {
	const dispatch = state.dispatches.length - 1;
	const current = state.dispatches[dispatch];
	return current === undefined
		? conclude(state, reason)
		: {
			state: {...state, phase: {kind: 'withdrawing', next, reason}},
			effects: [{kind: 'withdraw', dispatch, target: current.target}],
		};
}

/** Requests a retry from the retry budget. Ends the request if it is already ending or has reached the maximum of dispatches. */
export function requestRetry(state: RequestState, place: 'same' | 'other', reason: RefusalReason): RequestStep {
	return state.ending !== undefined || state.retries + 1 >= maximumDispatches
		? endWithoutRetry(state, place, reason)
		: {state: {...state, phase: {kind: 'requesting-retry', place, reason}}, effects: [{kind: 'request-retry', reason}]};
}

/** Ends a request that is not retried. A dispatch that its place may still start is withdrawn first. */
export function endWithoutRetry(state: RequestState, place: 'same' | 'other', reason: RefusalReason): RequestStep {
	return place === 'same' ? withdraw(state, 'conclude', reason) : conclude(state, state.ending?.reason ?? reason);
}

/** Ends a request early. The outcome of a dispatch is not decided until the place that may run it has answered. */
export function endEarly(state: RequestState, ending: Ending): RequestStep {
	const ended = {...state, ending: state.ending ?? ending};
	switch (state.phase.kind) {
		case 'new':
		case 'choosing': {
			return conclude(ended);
		}

		case 'requesting-retry':
		case 'backing-off': {
			return state.phase.place === 'same' ? withdraw(ended, 'conclude', ending.reason) : conclude(ended);
		}

		case 'dispatched': {
			return withdraw(ended, 'conclude', ending.reason);
		}

		case 'finding': {
			return ending.kind === 'deadline' ? conclude(ended) : {state: ended, effects: []};
		}

		case 'claiming':
		case 'withdrawing': {
			return {state: ended, effects: []};
		}

		case 'concluded': {
			return ending.kind === 'cancelled' && !isSettled(state) ? {state, effects: [{kind: 'refuse-cancel'}]} : {state, effects: []};
		}
	}
}
