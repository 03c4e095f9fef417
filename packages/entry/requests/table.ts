import {
	assertNever, createShardedMap, getValue, hashText, withoutValue, withValue, type MonotonicTime, type PlanName, type RequestId, type RequestWork, type Step,
} from '#core';
import {earnRetry, initialRetryBudget, spendRetry} from '#limits';
import {
	generationMilliseconds, maximumGenerationBytes, maximumGenerationSize, overloadRetryMilliseconds,
} from './constants.js';
import type {
	Ended, Generation, InFlight, RequestsEffect, RequestsMessage, RequestsState, SubmitReply,
} from './types.js';

type RequestsStep = Step<RequestsState, RequestsEffect>;
type Message<Kind extends RequestsMessage['kind']> = Extract<RequestsMessage, {kind: Kind}>;

const shardCount = 256;

const emptyGeneration: Generation = {requests: createShardedMap(shardCount), bytes: 0, startedAt: 0};

export const initialRequestsState: RequestsState = {
	nextNumber: 1, inFlight: createShardedMap(shardCount), current: emptyGeneration, previous: emptyGeneration, unsettled: 0, plans: new Map(), budget: initialRetryBudget,
};

/** Computes a digest of the request's content; an identifier may be used with one digest only. */
export function computeDigest({plan, kind, idempotent, payload}: RequestWork): string {
	const text = JSON.stringify([plan, kind, idempotent, payload]);
	return `${hashText(text)}-${text.length}`;
}

/** Finds an ended request that is still retained. */
export function findEnded(state: RequestsState, requestId: RequestId): Ended | undefined {
	return getValue(state.current.requests, requestId) ?? getValue(state.previous.requests, requestId);
}

export function findInFlight(state: RequestsState, requestId: RequestId): InFlight | undefined {
	return getValue(state.inFlight, requestId);
}

/** Admits requests, joins submissions with the same identifier, and retains the outcomes of ended requests. */
export function receiveRequestsMessage(state: RequestsState, message: RequestsMessage, {monotonic}: Readonly<{monotonic: MonotonicTime}>): RequestsStep {
	switch (message.kind) {
		case 'submit': {
			return submit(state, message);
		}

		case 'left': {
			return removeCaller(state, message);
		}

		case 'cancel': {
			return cancel(state, message);
		}

		case 'cancel-refused': {
			const running = findInFlight(state, message.requestId);
			if (running?.number !== message.number) {
				return {state, effects: []};
			}

			return {
				state: {...state, inFlight: withValue(state.inFlight, message.requestId, {...running, cancellations: []})},
				effects: running.cancellations.map(replyId => ({kind: 'reply-cancel', replyId, reply: {kind: 'running'}})),
			};
		}

		case 'answered': {
			return answer(state, message, monotonic);
		}

		case 'recorded': {
			const ended = findEnded(state, message.requestId);
			return ended?.number === message.number
				? {state: recordEnded(state, message.requestId, {...ended, outcome: message.outcome}, {bytes: message.bytes, monotonic}), effects: []}
				: {state, effects: []};
		}

		case 'settled': {
			return {state: adjustCounts(state, message.plan, -1), effects: []};
		}

		case 'request-retry': {
			const {isAllowed, budget} = spendRetry(state.budget, message.plan);
			return {state: {...state, budget}, effects: [{kind: 'decide-retry', number: message.number, isAllowed}]};
		}

		default: {
			return assertNever(message);
		}
	}
}

function adjustCounts(state: RequestsState, plan: PlanName, change: 1 | -1): RequestsState {
	const plans = new Map(state.plans);
	const count = (plans.get(plan) ?? 0) + change;
	if (count > 0) {
		plans.set(plan, count);
	} else {
		plans.delete(plan);
	}

	return {...state, plans, unsettled: state.unsettled + change};
}

function submit(state: RequestsState, {work, digest, options, replyId}: Message<'submit'>): RequestsStep {
	const {requestId, plan} = work;
	const replyNow = (reply: SubmitReply): RequestsStep => ({state, effects: [{kind: 'reply-submit', replyId, reply}]});
	const running = findInFlight(state, requestId);
	const ended = findEnded(state, requestId);
	if ((running ?? ended)?.digest !== undefined && (running ?? ended)?.digest !== digest) {
		return replyNow({kind: 'refused', reason: 'identifier-reused'});
	}

	if (running !== undefined) {
		return {state: {...state, inFlight: withValue(state.inFlight, requestId, {...running, callers: [...running.callers, replyId]})}, effects: []};
	}

	if (ended?.outcome.kind === 'completed') {
		return replyNow({kind: 'outcome', outcome: ended.outcome});
	}

	if (state.unsettled >= options.totalLimit) {
		return replyNow({kind: 'refused', reason: 'overloaded', retryAfterMilliseconds: overloadRetryMilliseconds});
	}

	if ((state.plans.get(plan) ?? 0) >= options.planLimit) {
		return replyNow({kind: 'refused', reason: 'quota-exceeded', retryAfterMilliseconds: overloadRetryMilliseconds});
	}

	const number = state.nextNumber;
	const counted = adjustCounts(state, plan, 1);
	return {
		state: {
			...counted,
			nextNumber: number + 1,
			budget: earnRetry(state.budget, plan),
			inFlight: withValue(state.inFlight, requestId, {
				number, digest, callers: [replyId], cancellations: [],
			}),
		},
		effects: [{
			kind: 'start', number, work, isRetry: options.isRetry, mayForward: options.mayForward,
		}],
	};
}

/** Removes a caller that has disconnected; the request task is notified after the last one. */
function removeCaller(state: RequestsState, {requestId, replyId}: Message<'left'>): RequestsStep {
	const running = findInFlight(state, requestId);
	if (running?.callers.includes(replyId) !== true) {
		return {state, effects: []};
	}

	const callers = running.callers.filter(caller => caller !== replyId);
	return {
		state: {...state, inFlight: withValue(state.inFlight, requestId, {...running, callers})},
		effects: callers.length === 0 ? [{kind: 'send', number: running.number, message: {kind: 'caller-left'}}] : [],
	};
}

function cancel(state: RequestsState, {requestId, replyId}: Message<'cancel'>): RequestsStep {
	const running = findInFlight(state, requestId);
	if (running !== undefined) {
		return {
			state: {...state, inFlight: withValue(state.inFlight, requestId, {...running, cancellations: [...running.cancellations, replyId]})},
			effects: [{kind: 'send', number: running.number, message: {kind: 'cancelled'}}],
		};
	}

	const ended = findEnded(state, requestId);
	return {state, effects: [{kind: 'reply-cancel', replyId, reply: ended === undefined ? {kind: 'absent'} : {kind: 'outcome', outcome: ended.outcome}}]};
}

function answer(state: RequestsState, {requestId, number, outcome, bytes}: Message<'answered'>, monotonic: MonotonicTime): RequestsStep {
	const running = findInFlight(state, requestId);
	if (running?.number !== number) {
		return {state, effects: []};
	}

	const next = recordEnded({...state, inFlight: withoutValue(state.inFlight, requestId)}, requestId, {number, digest: running.digest, outcome}, {bytes, monotonic});
	return {
		state: next,
		effects: [
			...running.callers.map((replyId): RequestsEffect => ({kind: 'reply-submit', replyId, reply: {kind: 'outcome', outcome}})),
			...running.cancellations.map((replyId): RequestsEffect => ({kind: 'reply-cancel', replyId, reply: {kind: 'outcome', outcome}})),
		],
	};
}

/** Adds an ended request. If the current generation is full or too old, a new one is started and the previous one is dropped. */
function recordEnded(state: RequestsState, requestId: RequestId, ended: Ended, {bytes, monotonic}: Readonly<{bytes: number; monotonic: MonotonicTime}>): RequestsState {
	const {current} = state;
	const isExhausted = current.requests.size >= maximumGenerationSize
		|| current.bytes + bytes > maximumGenerationBytes
		|| monotonic - current.startedAt >= generationMilliseconds;
	const target = isExhausted ? {...emptyGeneration, startedAt: monotonic} : current;
	return {
		...state,
		previous: isExhausted ? current : state.previous,
		current: {...target, bytes: target.bytes + bytes, requests: withValue(target.requests, requestId, ended)},
	};
}
