import {
	assertNever, type AgentAnswer, type MonotonicTime, type Step,
} from '#core';
import type {
	ExecutionEffect, ExecutionMessage, ExecutionState, LedgerRecord, Present,
} from './types.js';

type ExecutionStep = Step<ExecutionState, ExecutionEffect>;

/** Decides which requests an agent starts, queues or refuses, and answers each identifier once per incarnation. */
export function receiveExecutionMessage(state: ExecutionState, message: ExecutionMessage, present: Present): ExecutionStep {
	switch (message.kind) {
		case 'run': {
			return acceptRun(state, message, present.monotonic);
		}

		case 'ended': {
			return endRun(state, message, present.monotonic);
		}

		default: {
			return assertNever(message);
		}
	}
}

function acceptRun(state: ExecutionState, message: Extract<ExecutionMessage, {kind: 'run'}>, monotonic: MonotonicTime): ExecutionStep {
	if (message.incarnation !== state.incarnation) {
		return {state, effects: [{kind: 'reply', replyId: message.replyId, answer: {kind: 'refused', reason: 'stale-incarnation'}}]};
	}

	const {requestId} = message.work;
	const known = state.records.get(requestId);
	if (known === undefined) {
		const record: LedgerRecord = {
			kind: 'queued', work: message.work, serviceClass: message.serviceClass, queuedAt: monotonic, waiting: [message.replyId],
		};
		return startQueued({...state, records: new Map(state.records).set(requestId, record)}, monotonic);
	}

	if (known.kind === 'answered') {
		return {state, effects: [{kind: 'reply', replyId: message.replyId, answer: known.answer}]};
	}

	const waiting = [...known.waiting, message.replyId];
	return {state: {...state, records: new Map(state.records).set(requestId, {...known, waiting})}, effects: []};
}

function startQueued(state: ExecutionState, monotonic: MonotonicTime): ExecutionStep {
	const records = new Map(state.records);
	const effects: ExecutionEffect[] = [];
	let running = [...records.values()].filter(({kind}) => kind === 'running').length;
	for (const [requestId, record] of records) {
		if (record.kind === 'queued' && running < state.slots) {
			running++;
			records.set(requestId, {...record, kind: 'running', startedAt: monotonic});
			effects.push({kind: 'start-task', work: record.work});
		}
	}

	return {state: {...state, records}, effects};
}

function endRun(state: ExecutionState, message: Extract<ExecutionMessage, {kind: 'ended'}>, monotonic: MonotonicTime): ExecutionStep {
	const record = state.records.get(message.requestId);
	if (record?.kind !== 'running') {
		return {state, effects: []};
	}

	const answer: AgentAnswer = {
		kind: 'ran',
		result: {...message.result, serviceMilliseconds: monotonic - record.startedAt, queueMilliseconds: record.startedAt - record.queuedAt},
	};
	const records = new Map(state.records).set(message.requestId, {kind: 'answered', answer, answeredAt: monotonic});
	const next = startQueued({...state, records}, monotonic);
	const replies = record.waiting.map((replyId): ExecutionEffect => ({kind: 'reply', replyId, answer}));
	return {state: next.state, effects: [...replies, ...next.effects]};
}
