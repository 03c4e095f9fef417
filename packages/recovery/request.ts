import {assertNever} from '#core';
import {backoffWithFullJitter} from '#limits';
import {receiveReply} from './request-replies.js';
import {
	callTarget, chooseTarget, conclude, calculateDeadlineDelay, dispatchTo, endEarly, endWithoutRetry, withdraw, type RequestStep,
} from './request-steps.js';
import type {RequestMessage, RequestState} from './types.js';

type Message<Kind extends RequestMessage['kind']> = Extract<RequestMessage, {kind: Kind}>;

/**
State machine of one request: claim, dispatch, query after a lost connection, withdrawal, retry and answer.

Messages may arrive late and in any order. The caller is answered once.
*/
export function receiveRequestMessage(state: RequestState, message: RequestMessage, {now}: Readonly<{now: number}>): RequestStep {
	switch (message.kind) {
		case 'submitted': {
			const {state: next, effects} = chooseTarget(state);
			return {state: next, effects: [{kind: 'schedule', delay: calculateDeadlineDelay(state.work, now), message: {kind: 'deadline'}}, ...effects]};
		}

		case 'chosen':
		case 'none-available': {
			return receiveChoice(state, message);
		}

		case 'claimed':
		case 'claim-refused': {
			return receiveClaim(state, message);
		}

		case 'answered':
		case 'failed':
		case 'found':
		case 'gone':
		case 'withdrawn':
		case 'withdraw-failed': {
			return receiveReply(state, message);
		}

		case 'retry-granted':
		case 'retry-denied':
		case 'backoff-ended': {
			return receiveRetryMessage(state, message);
		}

		case 'deadline':
		case 'caller-left':
		case 'cancelled': {
			return endEarly(state, {kind: message.kind, reason: message.kind === 'deadline' ? 'timeout' : 'cancelled'});
		}

		default: {
			return assertNever(message);
		}
	}
}

/** Writes a claim before dispatching a non-idempotent request to an agent; an entry of another zone writes the claim itself. */
function receiveChoice(state: RequestState, message: Message<'chosen' | 'none-available'>): RequestStep {
	if (state.phase.kind !== 'choosing') {
		return {state, effects: []};
	}

	if (message.kind === 'none-available') {
		return conclude(state, state.dispatches.length === 0 ? message.reason : undefined);
	}

	const {target} = message;
	return state.work.idempotent || target.kind === 'entry'
		? dispatchTo(state, target)
		: {state: {...state, phase: {kind: 'claiming'}}, effects: [{kind: 'claim', target, from: state.claim?.place}]};
}

function receiveClaim(state: RequestState, message: Message<'claimed' | 'claim-refused'>): RequestStep {
	if (state.phase.kind !== 'claiming') {
		return {state, effects: []};
	}

	if (message.kind === 'claim-refused') {
		// A write whose effect is unknown may have moved the claim, so an earlier withdrawal no longer proves that the request did not run.
		return conclude({...state, claim: undefined}, message.reason);
	}

	const {claim, target} = message;
	const claimed = {...state, claim, isClaimWithdrawn: false};
	if (state.ending === undefined) {
		return dispatchTo(claimed, target);
	}

	// Another submission may find the claim, so the place must refuse the identifier before the outcome can be `not-run`.
	return withdraw({...claimed, dispatches: [...state.dispatches, {target, state: {kind: 'not-sent', reason: state.ending.reason}, calls: 0}]}, 'conclude', state.ending.reason);
}

function receiveRetryMessage(state: RequestState, message: Message<'retry-granted' | 'retry-denied' | 'backoff-ended'>): RequestStep {
	const {phase} = state;
	switch (message.kind) {
		case 'retry-granted': {
			return phase.kind === 'requesting-retry'
				? {
					state: {...state, retries: state.retries + 1, phase: {kind: 'backing-off', place: phase.place}},
					effects: [{kind: 'schedule', delay: backoffWithFullJitter(state.retries, message.jitter), message: {kind: 'backoff-ended'}}],
				}
				: {state, effects: []};
		}

		case 'retry-denied': {
			return phase.kind === 'requesting-retry' ? endWithoutRetry(state, phase.place, phase.reason) : {state, effects: []};
		}

		case 'backoff-ended': {
			if (phase.kind !== 'backing-off') {
				return {state, effects: []};
			}

			return phase.place === 'same' ? callTarget(state, state.dispatches.length - 1) : chooseTarget(state);
		}
	}
}
