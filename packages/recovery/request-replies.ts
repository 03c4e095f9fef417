import {assertNever, type AgentAnswer, type RefusalReason} from '#core';
import type {FindResult, WithdrawResult} from '#protocol';
import {
	requestRetry, callTarget, conclude, settleDispatch, withdraw, type RequestStep,
} from './request-steps.js';
import type {RequestMessage, RequestState} from './types.js';

export type ReplyMessage = Extract<RequestMessage, {kind: 'answered' | 'failed' | 'found' | 'gone' | 'withdrawn' | 'withdraw-failed'}>;

/** Refusals after which another worker may accept the request. */
const retryableRefusals: ReadonlySet<RefusalReason> = new Set(['queue-full', 'draining', 'stale-incarnation', 'overloaded', 'no-worker-available', 'worker-failed']);

/** Handles replies and connection failures of a dispatch. Replies may arrive late or more than once. */
export function receiveReply(state: RequestState, message: ReplyMessage): RequestStep {
	switch (message.kind) {
		case 'answered': {
			return receiveAnswer(state, message.dispatch, message.answer);
		}

		case 'failed': {
			return receiveFailure(state, message);
		}

		case 'found': {
			return receiveFindResult(state, message.dispatch, message.result);
		}

		case 'gone': {
			return receiveLoss(state, message.dispatch);
		}

		case 'withdrawn': {
			return receiveWithdrawal(state, message.dispatch, message.result);
		}

		case 'withdraw-failed': {
			return isExpected(state, message.dispatch, 'withdrawing')
				? conclude(settleDispatch(state, message.dispatch, {kind: 'lost', reason: 'connection-lost'}))
				: {state, effects: []};
		}

		default: {
			return assertNever(message);
		}
	}
}

/** Whether a message concerns the last dispatch and the request is in the phase that expects it. */
function isExpected(state: RequestState, dispatch: number, phase: RequestState['phase']['kind']): boolean {
	return state.phase.kind === phase && dispatch === state.dispatches.length - 1;
}

function receiveAnswer(state: RequestState, dispatch: number, answer: AgentAnswer): RequestStep {
	switch (answer.kind) {
		case 'ran': {
			return conclude(settleDispatch(state, dispatch, {kind: 'finished', result: answer.result}));
		}

		case 'interrupted': {
			const settled = settleDispatch(state, dispatch, {kind: 'interrupted', reason: answer.reason});
			if (!isAwaited(state, dispatch)) {
				return {state: settled, effects: []};
			}

			return state.work.idempotent ? requestRetry(settled, 'other', answer.reason) : conclude(settled);
		}

		case 'refused': {
			return receiveRefusal(state, dispatch, answer);
		}
	}
}

function isAwaited(state: RequestState, dispatch: number): boolean {
	return isExpected(state, dispatch, 'dispatched') || isExpected(state, dispatch, 'finding') || isExpected(state, dispatch, 'withdrawing');
}

function receiveRefusal(state: RequestState, dispatch: number, {reason, retryAfterMilliseconds}: Extract<AgentAnswer, {kind: 'refused'}>): RequestStep {
	const target = state.dispatches[dispatch]?.target;
	// Another incarnation does not know whether the claimed one ran the request.
	const isAnotherIncarnation = reason === 'stale-incarnation' && !state.work.idempotent;
	const settled = settleDispatch(state, dispatch, isAnotherIncarnation
		? {kind: 'lost', reason}
		: {kind: 'refused', reason, ...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds})});
	if (state.phase.kind === 'concluded') {
		return conclude(settled);
	}

	if (!isAwaited(state, dispatch) || state.phase.kind === 'withdrawing') {
		return {state: settled, effects: []};
	}

	const isRetryable = retryableRefusals.has(reason) && target?.kind === 'agent' && state.ending === undefined;
	if (state.work.idempotent) {
		return isRetryable ? requestRetry(settled, 'other', reason) : conclude(settled);
	}

	if (isAnotherIncarnation || target?.kind === 'entry' || state.claim?.isOwner !== true) {
		return conclude(settled);
	}

	return withdraw(settled, isRetryable ? 'move' : 'conclude', reason);
}

function receiveFailure(state: RequestState, {dispatch, call, delivery, reason}: Extract<ReplyMessage, {kind: 'failed'}>): RequestStep {
	const current = state.dispatches[dispatch];
	if (call !== state.calls || current === undefined) {
		return {state, effects: []};
	}

	// A place that was called before may hold the request even if the current call was never sent.
	const isNeverSent = delivery === 'never-sent' && current.calls === 1;
	const settled = settleDispatch(state, dispatch, {kind: isNeverSent ? 'not-sent' : 'lost', reason});
	if (state.phase.kind === 'concluded') {
		return conclude(settled);
	}

	if (state.phase.kind !== 'dispatched') {
		// While a withdrawal is in progress, its answer decides instead of the failed call.
		return {state: settled, effects: []};
	}

	if (current.target.kind === 'entry') {
		return state.work.idempotent || isNeverSent ? requestRetry(settled, 'other', reason) : conclude(settled);
	}

	if (isNeverSent && state.work.idempotent) {
		return requestRetry(settled, 'other', reason);
	}

	if (isNeverSent && state.claim?.isOwner === true) {
		return withdraw(settled, 'move', reason);
	}

	const lost = settleDispatch(state, dispatch, {kind: 'lost', reason});
	return {state: {...lost, phase: {kind: 'finding'}}, effects: [{kind: 'find', dispatch, target: current.target}]};
}

function receiveFindResult(state: RequestState, dispatch: number, result: FindResult): RequestStep {
	if (result.kind === 'answered') {
		return receiveAnswer(state, dispatch, result.answer);
	}

	if (!isExpected(state, dispatch, 'finding')) {
		return {state, effects: []};
	}

	if (state.ending !== undefined) {
		return withdraw(state, 'conclude', state.ending.reason);
	}

	switch (result.kind) {
		case 'never-seen': {
			return requestRetry(state, 'same', 'connection-lost');
		}

		// The agent adds this call to those waiting for the answer of the same request.
		case 'queued':
		case 'running': {
			return callTarget(state, dispatch);
		}
	}
}

function receiveLoss(state: RequestState, dispatch: number): RequestStep {
	if (!isExpected(state, dispatch, 'finding')) {
		return {state, effects: []};
	}

	return state.work.idempotent ? requestRetry(state, 'other', 'connection-lost') : conclude(state);
}

function receiveWithdrawal(state: RequestState, dispatch: number, result: WithdrawResult): RequestStep {
	const {phase} = state;
	if (phase.kind !== 'withdrawing' || dispatch !== state.dispatches.length - 1) {
		return result.kind === 'answered' ? receiveAnswer(state, dispatch, result.answer) : {state, effects: []};
	}

	switch (result.kind) {
		case 'withdrawn': {
			const settled = {...settleDispatch(state, dispatch, {kind: 'withdrawn', reason: phase.reason}), isClaimWithdrawn: true};
			return phase.next === 'move' ? requestRetry(settled, 'other', phase.reason) : conclude(settled, settled.ending?.reason ?? phase.reason);
		}

		case 'running': {
			return continueRunning(state, dispatch);
		}

		case 'answered': {
			return receiveWithdrawalAnswer(state, dispatch, result.answer);
		}
	}
}

/** Handles a withdrawal of an identifier that the agent has already answered. If it was refused, it never starts there. */
function receiveWithdrawalAnswer(state: RequestState, dispatch: number, answer: AgentAnswer): RequestStep {
	if (answer.kind !== 'refused' || state.phase.kind !== 'withdrawing') {
		return receiveAnswer(state, dispatch, answer);
	}

	const {next, reason} = state.phase;
	const settled = {...settleDispatch(state, dispatch, {kind: 'refused', reason: answer.reason}), isClaimWithdrawn: true};
	return next === 'move' ? requestRetry(settled, 'other', reason) : conclude(settled);
}

/** Handles a withdrawal that found the work running: after a deadline the outcome is unknown; otherwise waits for the result. */
function continueRunning(state: RequestState, dispatch: number): RequestStep {
	const {ending} = state;
	const current = state.dispatches[dispatch];
	const running: RequestState = current === undefined || current.state.kind === 'sent'
		? state
		: {...state, dispatches: state.dispatches.with(dispatch, {...current, state: {kind: 'lost', reason: 'connection-lost'}})};
	if (ending?.kind === 'deadline') {
		return conclude(running);
	}

	const next: RequestStep = current?.state.kind === 'sent'
		? {state: {...running, phase: {kind: 'dispatched'}}, effects: []}
		: callTarget(running, dispatch);
	return ending === undefined
		? next
		: {state: {...next.state, ending: undefined}, effects: [{kind: 'refuse-cancel'}, ...next.effects]};
}
