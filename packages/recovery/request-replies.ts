import {assertNever, type AgentAnswer, type RefusalReason} from '#core';
import type {FindResult, WithdrawResult} from '#protocol';
import {
	requestRetry, callTarget, conclude, settleDispatch, withdraw, type RequestStep,
} from './request-steps.js';
import type {RequestMessage, RequestState} from './types.js';

export type ReplyMessage = Extract<RequestMessage, {kind: 'answered' | 'failed' | 'found' | 'gone' | 'withdrawn' | 'withdraw-failed'}>;

/** Refusals after which another worker may do better. */
const retryableRefusals: ReadonlySet<RefusalReason> = new Set(['queue-full', 'draining', 'stale-incarnation', 'overloaded', 'no-worker-available', 'worker-failed']);

/** Decides on what a place, or the connection to it, said about a dispatch. Replies may be late or repeated. */
export function receiveReply(state: RequestState, message: ReplyMessage): RequestStep {
	switch (message.kind) {
		case 'answered': {
			return takeAnswer(state, message.dispatch, message.answer);
		}

		case 'failed': {
			return takeFailure(state, message);
		}

		case 'found': {
			return takeFinding(state, message.dispatch, message.result);
		}

		case 'gone': {
			return takeLoss(state, message.dispatch);
		}

		case 'withdrawn': {
			return takeWithdrawal(state, message.dispatch, message.result);
		}

		case 'withdraw-failed': {
			return isCurrent(state, message.dispatch, 'withdrawing')
				? conclude(settleDispatch(state, message.dispatch, {kind: 'lost', reason: 'connection-lost'}))
				: {state, effects: []};
		}

		default: {
			return assertNever(message);
		}
	}
}

/** Whether a message is about the last dispatch in the phase that expects it. */
function isCurrent(state: RequestState, dispatch: number, phase: RequestState['phase']['kind']): boolean {
	return state.phase.kind === phase && dispatch === state.dispatches.length - 1;
}

function takeAnswer(state: RequestState, dispatch: number, answer: AgentAnswer): RequestStep {
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
			return takeRefusal(state, dispatch, answer);
		}
	}
}

function isAwaited(state: RequestState, dispatch: number): boolean {
	return isCurrent(state, dispatch, 'dispatched') || isCurrent(state, dispatch, 'finding') || isCurrent(state, dispatch, 'withdrawing');
}

function takeRefusal(state: RequestState, dispatch: number, {reason, retryAfterMilliseconds}: Extract<AgentAnswer, {kind: 'refused'}>): RequestStep {
	const target = state.dispatches[dispatch]?.target;
	// Another incarnation cannot speak for the one that was claimed.
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

function takeFailure(state: RequestState, {dispatch, call, delivery, reason}: Extract<ReplyMessage, {kind: 'failed'}>): RequestStep {
	const present = state.dispatches[dispatch];
	if (call !== state.calls || present === undefined) {
		return {state, effects: []};
	}

	// A place that was called before may hold the request even if the present call was never sent.
	const isNeverSent = delivery === 'never-sent' && present.calls === 1;
	const settled = settleDispatch(state, dispatch, {kind: isNeverSent ? 'not-sent' : 'lost', reason});
	if (state.phase.kind === 'concluded') {
		return conclude(settled);
	}

	if (state.phase.kind !== 'dispatched') {
		// While a withdrawal is under way, its answer says more than the broken call.
		return {state: settled, effects: []};
	}

	if (present.target.kind === 'entry') {
		return state.work.idempotent || isNeverSent ? requestRetry(settled, 'other', reason) : conclude(settled);
	}

	if (isNeverSent && state.work.idempotent) {
		return requestRetry(settled, 'other', reason);
	}

	if (isNeverSent && state.claim?.isOwner === true) {
		return withdraw(settled, 'move', reason);
	}

	const lost = settleDispatch(state, dispatch, {kind: 'lost', reason});
	return {state: {...lost, phase: {kind: 'finding'}}, effects: [{kind: 'find', dispatch, target: present.target}]};
}

function takeFinding(state: RequestState, dispatch: number, result: FindResult): RequestStep {
	if (result.kind === 'answered') {
		return takeAnswer(state, dispatch, result.answer);
	}

	if (!isCurrent(state, dispatch, 'finding')) {
		return {state, effects: []};
	}

	if (state.ending !== undefined) {
		return withdraw(state, 'conclude', state.ending.reason);
	}

	switch (result.kind) {
		case 'never-seen': {
			return requestRetry(state, 'same', 'connection-lost');
		}

		// The agent adds this call to those that wait for its one answer.
		case 'queued':
		case 'running': {
			return callTarget(state, dispatch);
		}
	}
}

function takeLoss(state: RequestState, dispatch: number): RequestStep {
	if (!isCurrent(state, dispatch, 'finding')) {
		return {state, effects: []};
	}

	return state.work.idempotent ? requestRetry(state, 'other', 'connection-lost') : conclude(state);
}

function takeWithdrawal(state: RequestState, dispatch: number, result: WithdrawResult): RequestStep {
	const {phase} = state;
	if (phase.kind !== 'withdrawing' || dispatch !== state.dispatches.length - 1) {
		return result.kind === 'answered' ? takeAnswer(state, dispatch, result.answer) : {state, effects: []};
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
			return takeWithdrawalAnswer(state, dispatch, result.answer);
		}
	}
}

/** The identifier was answered before the withdrawal; a refusal stays one for good. */
function takeWithdrawalAnswer(state: RequestState, dispatch: number, answer: AgentAnswer): RequestStep {
	if (answer.kind !== 'refused' || state.phase.kind !== 'withdrawing') {
		return takeAnswer(state, dispatch, answer);
	}

	const {next, reason} = state.phase;
	const settled = {...settleDispatch(state, dispatch, {kind: 'refused', reason: answer.reason}), isClaimWithdrawn: true};
	return next === 'move' ? requestRetry(settled, 'other', reason) : conclude(settled);
}

/** The work has started: a deadline leaves its end unknown, everything else waits for it. */
function continueRunning(state: RequestState, dispatch: number): RequestStep {
	const {ending} = state;
	const present = state.dispatches[dispatch];
	const running: RequestState = present === undefined || present.state.kind === 'sent'
		? state
		: {...state, dispatches: state.dispatches.with(dispatch, {...present, state: {kind: 'lost', reason: 'connection-lost'}})};
	if (ending?.kind === 'deadline') {
		return conclude(running);
	}

	const next: RequestStep = present?.state.kind === 'sent'
		? {state: {...running, phase: {kind: 'dispatched'}}, effects: []}
		: callTarget(running, dispatch);
	return ending === undefined
		? next
		: {state: {...next.state, ending: undefined}, effects: [{kind: 'refuse-cancel'}, ...next.effects]};
}
