import type {AgentAnswer} from '#core';
import {settleRecord, type ExecutionStep} from './answers.js';
import {findRecord, hasCapacity, storeAnswer} from './ledger.js';
import type {ExecutionMessage, ExecutionState, CurrentTime} from './types.js';

const withdrawnAnswer: AgentAnswer = {kind: 'refused', reason: 'withdrawn'};

/** Withdraws a request that has not started. An unknown identifier gets a tombstone, so that a `run` message that arrives later does not start it. */
export function withdrawRequest(state: ExecutionState, message: Extract<ExecutionMessage, {kind: 'withdraw'}>, time: CurrentTime): ExecutionStep {
	const {requestId, incarnation, replyId} = message;
	if (incarnation !== state.settings.incarnation) {
		// This incarnation has no record of requests of another one.
		return {state, effects: [{kind: 'answer-withdraw', replyId, result: {kind: 'answered', answer: {kind: 'interrupted', reason: 'stale-incarnation'}}}]};
	}

	const record = findRecord(state.ledger, requestId);
	switch (record?.kind) {
		case undefined: {
			return storeTombstone(state, message, time);
		}

		case 'queued': {
			const step = settleRecord({state, effects: []}, record, withdrawnAnswer, time);
			return {...step, effects: [...step.effects, {kind: 'answer-withdraw', replyId, result: {kind: 'withdrawn'}}]};
		}

		case 'running': {
			return {state, effects: [{kind: 'answer-withdraw', replyId, result: {kind: 'running'}}]};
		}

		case 'answered': {
			const isWithdrawn = record.answer.kind === 'refused' && record.answer.reason === 'withdrawn';
			return {
				state,
				effects: [{kind: 'answer-withdraw', replyId, result: isWithdrawn ? {kind: 'withdrawn'} : {kind: 'answered', answer: record.answer}}],
			};
		}
	}
}

function storeTombstone(state: ExecutionState, {requestId, replyId}: Extract<ExecutionMessage, {kind: 'withdraw'}>, {monotonic}: CurrentTime): ExecutionStep {
	if (!hasCapacity(state.ledger, state.settings)) {
		// Without a tombstone the request could still start, unless the agent is draining and starts nothing.
		return {state, effects: [{kind: 'answer-withdraw', replyId, result: {kind: state.phase === 'serving' ? 'running' : 'withdrawn'}}]};
	}

	const ledger = storeAnswer(state.ledger, {
		requestId, answer: withdrawnAnswer, fingerprint: undefined, isPinned: true, wasPendingNonIdempotent: false,
	}, monotonic, state.settings);
	return {state: {...state, ledger}, effects: [{kind: 'answer-withdraw', replyId, result: {kind: 'withdrawn'}}]};
}
