import type {
	RefusalReason, RequestWork, Step, Timestamp, WorkerId,
} from '#core';
import {maximumDispatches, maximumRequestMilliseconds} from './constants.js';
import {deriveOutcome} from './outcome.js';
import type {
	DispatchState, Ending, RequestEffect, RequestState, Target,
} from './types.js';

export type RequestStep = Step<RequestState, RequestEffect>;

/** A request before it is submitted. */
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

/** Whether the caller was answered and nothing is in flight any more that could change what is known. */
export function isSettled(state: RequestState): boolean {
	return state.phase.kind === 'concluded' && !state.dispatches.some(dispatch => dispatch.state.kind === 'sent');
}

/** Time left until the request is given up. */
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

/** Answers the caller once; later findings only replace the recorded outcome. */
export function conclude(state: RequestState, cause?: RefusalReason): RequestStep {
	const outcome = deriveOutcome(state.dispatches, mayHaveRunElsewhere(state), cause ?? state.ending?.reason);
	if (state.answered === undefined) {
		return {state: {...state, phase: {kind: 'concluded'}, answered: outcome}, effects: [{kind: 'answer', outcome}]};
	}

	const isBetter = state.answered.kind === 'unknown' && outcome.kind !== 'unknown';
	return isBetter
		? {state: {...state, answered: outcome}, effects: [{kind: 'record', outcome}]}
		: {state, effects: []};
}

/** Replaces the state of one dispatch; a final state stays. */
export function settleDispatch(state: RequestState, dispatch: number, next: DispatchState): RequestState {
	const present = state.dispatches[dispatch];
	if (present?.state.kind !== 'sent' && present?.state.kind !== 'lost') {
		return state;
	}

	return {...state, dispatches: state.dispatches.with(dispatch, {...present, state: next})};
}

/** Asks for a worker, leaving out those that this request has tried. */
export function chooseTarget(state: RequestState): RequestStep {
	const excluded = state.dispatches.flatMap(({target}): readonly WorkerId[] => target.kind === 'agent' ? [target.place.worker] : []);
	const mayForward = !state.dispatches.some(({target}) => target.kind === 'entry');
	return {state: {...state, phase: {kind: 'choosing'}}, effects: [{kind: 'choose', excluded, mayForward}]};
}

/** Sends the request to a new target. */
export function dispatchTo(state: RequestState, target: Target): RequestStep {
	return callTarget({...state, dispatches: [...state.dispatches, {target, state: {kind: 'sent'}, calls: 0}]}, state.dispatches.length);
}

/** Calls the target of a dispatch, again if it is the same place: the agent answers one identifier once. */
export function callTarget(state: RequestState, dispatch: number): RequestStep {
	const present = state.dispatches[dispatch];
	if (present === undefined) {
		return conclude(state);
	}

	const call = state.calls + 1;
	return {
		state: {
			...state, calls: call, phase: {kind: 'dispatched'}, dispatches: state.dispatches.with(dispatch, {...present, state: {kind: 'sent'}, calls: present.calls + 1}),
		},
		effects: [{
			kind: 'dispatch', dispatch, call, target: present.target,
		}],
	};
}

/** Withdraws the last dispatch at the place that could run it. */
export function withdraw(state: RequestState, next: 'move' | 'conclude', reason: RefusalReason): RequestStep {
	const dispatch = state.dispatches.length - 1;
	const present = state.dispatches[dispatch];
	return present === undefined
		? conclude(state, reason)
		: {
			state: {...state, phase: {kind: 'withdrawing', next, reason}},
			effects: [{kind: 'withdraw', dispatch, target: present.target}],
		};
}

/** Asks the retry budget; a request that is ending or was dispatched often enough is concluded. */
export function requestRetry(state: RequestState, place: 'same' | 'other', reason: RefusalReason): RequestStep {
	return state.ending !== undefined || state.retries + 1 >= maximumDispatches
		? endWithoutRetry(state, place, reason)
		: {state: {...state, phase: {kind: 'asking-retry', place, reason}}, effects: [{kind: 'ask-retry', reason}]};
}

/** Ends a request that is not retried. A place that may still start it is asked to withdraw first. */
export function endWithoutRetry(state: RequestState, place: 'same' | 'other', reason: RefusalReason): RequestStep {
	return place === 'same' ? withdraw(state, 'conclude', reason) : conclude(state, state.ending?.reason ?? reason);
}

/** Ends a request early. Nothing is said about a dispatch until the place that could run it has answered. */
export function endEarly(state: RequestState, ending: Ending): RequestStep {
	const ended = {...state, ending: state.ending ?? ending};
	switch (state.phase.kind) {
		case 'new':
		case 'choosing': {
			return conclude(ended);
		}

		case 'asking-retry':
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
