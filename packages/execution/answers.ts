import type {AgentAnswer, RefusalReason} from '#core';
import {endItem, removeItem, type QueueItem} from '#limits';
import {removePending, findRecord, storeAnswer} from './ledger.js';
import type {
	ExecutionEffect, ExecutionState, LedgerRecord, Present, QueuedRecord, RunningRecord,
} from './types.js';

/** A decision that continues another one. */
export type ExecutionStep = Readonly<{state: ExecutionState; effects: readonly ExecutionEffect[]}>;

/**
Answers everybody who waits for an unanswered request and remembers the answer.

A refused idempotent request is forgotten, so that its caller may submit it again when the retry time has passed. The identifier of any other one stays refused, as does one that was withdrawn.
*/
export function settleRecord(step: ExecutionStep, record: QueuedRecord | RunningRecord, answer: AgentAnswer, {monotonic}: Present): ExecutionStep {
	const {state} = step;
	const {requestId, idempotent} = record.work;
	const isWithdrawn = answer.kind === 'refused' && answer.reason === 'withdrawn';
	const isForgotten = idempotent && answer.kind === 'refused' && !isWithdrawn;
	const ledger = isForgotten
		? removePending(state.ledger, requestId)
		: storeAnswer(state.ledger, {
			requestId, answer, fingerprint: record.fingerprint, isPinned: !idempotent || isWithdrawn, wasPendingNonIdempotent: !idempotent,
		}, monotonic, state.settings);
	return {
		state: {...state, ledger, queue: removeFromQueue(state, record, monotonic)},
		effects: [...step.effects, ...replyToWaiting(record, answer)],
	};
}

/** Refuses a request that waits; one that does not wait is left alone. */
export function refuseQueued(step: ExecutionStep, {requestId}: Readonly<Pick<QueueItem, 'requestId'>>, reason: RefusalReason, present: Present): ExecutionStep {
	const record = findRecord(step.state.ledger, requestId);
	return record?.kind === 'queued' ? settleRecord(step, record, {kind: 'refused', reason}, present) : step;
}

function removeFromQueue({queue}: ExecutionState, record: QueuedRecord | RunningRecord, monotonic: number) {
	return record.kind === 'queued' ? removeItem(queue, record.item) : endItem(queue, record.work.requestId, monotonic);
}

function replyToWaiting({waiting}: Extract<LedgerRecord, {waiting: unknown}>, answer: AgentAnswer): readonly ExecutionEffect[] {
	return [
		...(answer.kind === 'refused' ? [{kind: 'count-refusal', reason: answer.reason} as const] : []),
		...waiting.map((replyId): ExecutionEffect => ({kind: 'answer-run', replyId, answer})),
	];
}
