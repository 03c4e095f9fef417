import type {AgentAnswer, RefusalReason} from '#core';
import {endItem, removeItem, type QueueItem} from '#limits';
import {removePending, findRecord, storeAnswer} from './ledger.js';
import type {
	ExecutionEffect, ExecutionState, LedgerRecord, CurrentTime, QueuedRecord, RunningRecord,
} from './types.js';

/** State and effects accumulated over several decisions. */
export type ExecutionStep = Readonly<{state: ExecutionState; effects: readonly ExecutionEffect[]}>;

/**
Answers all callers that wait for a pending request and stores the answer.

A refused idempotent request is removed, so that its caller may submit it again after the retry delay. The identifier of a refused non-idempotent or withdrawn request stays refused.
*/
export function settleRecord(step: ExecutionStep, record: QueuedRecord | RunningRecord, answer: AgentAnswer, {monotonic}: CurrentTime): ExecutionStep {
	const {state} = step;
	const {requestId, idempotent} = record.work;
	const isWithdrawn = answer.kind === 'refused' && answer.reason === 'withdrawn';
	const isRemoved = idempotent && answer.kind === 'refused' && !isWithdrawn;
	const ledger = isRemoved
		? removePending(state.ledger, requestId)
		: storeAnswer(state.ledger, {
			requestId, answer, fingerprint: record.fingerprint, isPinned: !idempotent || isWithdrawn, wasPendingNonIdempotent: !idempotent,
		}, monotonic, state.settings);
	return {
		state: {...state, ledger, queue: removeFromQueue(state, record, monotonic)},
		effects: [...step.effects, ...replyToWaiting(record, answer)],
	};
}

/** Refuses a queued request; a request in any other state is unchanged. */
export function refuseQueued(step: ExecutionStep, {requestId}: Readonly<Pick<QueueItem, 'requestId'>>, reason: RefusalReason, time: CurrentTime): ExecutionStep {
	const record = findRecord(step.state.ledger, requestId);
	return record?.kind === 'queued' ? settleRecord(step, record, {kind: 'refused', reason}, time) : step;
}

function removeFromQueue({queue}: ExecutionState, record: QueuedRecord | RunningRecord, monotonic: number) {
	return record.kind === 'queued' ? removeItem(queue, record.item) : endItem(queue, record.work.requestId, monotonic);
}

function replyToWaiting({replyIds}: Extract<LedgerRecord, {replyIds: unknown}>, answer: AgentAnswer): readonly ExecutionEffect[] {
	return [
		...(answer.kind === 'refused' ? [{kind: 'count-refusal', reason: answer.reason} as const] : []),
		...replyIds.map((replyId): ExecutionEffect => ({kind: 'answer-run', replyId, answer})),
	];
}
