import type {RefusalReason} from '#core';
import {admitItem, type QueueItem} from '#limits';
import {refuseQueued, type ExecutionStep} from './answers.js';
import {fingerprintWork} from './fingerprint.js';
import {checkIdentifier, readIdentifierTime} from './identifier.js';
import {
	rejectUntil, findRecord, hasCapacity, storeAnswer, storePending,
} from './ledger.js';
import {estimateServiceTime} from './observations.js';
import {startQueued} from './start-queued.js';
import type {
	ExecutionState, LedgerRecord, CurrentTime, RunMessage,
} from './types.js';

/** Admits a request, answers it from the ledger or refuses it. */
export function acceptRun(state: ExecutionState, message: RunMessage, time: CurrentTime): ExecutionStep {
	if (message.incarnation !== state.settings.incarnation) {
		return refuse(state, message, 'stale-incarnation');
	}

	const known = findRecord(state.ledger, message.work.requestId);
	if (known !== undefined) {
		return answerFromLedger(state, message, known);
	}

	if (state.phase !== 'serving') {
		return refuse(state, message, 'draining');
	}

	const reason = message.work.idempotent ? undefined : checkAtMostOnce(state, message);
	if (reason === undefined) {
		return admitRun(state, message, time);
	}

	const createdAt = readIdentifierTime(message.work.requestId) ?? state.latestNow;
	return refuse(reason === 'overloaded' ? {...state, ledger: rejectUntil(state.ledger, createdAt)} : state, message, reason);
}

/** Returns why a new non-idempotent request cannot be run at most once: the ledger cannot rule out an earlier run of its identifier, or has no room for its answer. */
function checkAtMostOnce({settings, ledger, latestNow}: ExecutionState, {work}: RunMessage): RefusalReason | undefined {
	const reason = checkIdentifier(work.requestId, latestNow, settings);
	if (reason !== undefined) {
		return reason;
	}

	const createdAt = readIdentifierTime(work.requestId) ?? latestNow;
	return createdAt <= ledger.rejectedUntil || !hasCapacity(ledger, settings) ? 'overloaded' : undefined;
}

function answerFromLedger(state: ExecutionState, {work, replyId}: RunMessage, known: LedgerRecord): ExecutionStep {
	if (known.fingerprint !== undefined && known.fingerprint !== fingerprintWork(work)) {
		return {state, effects: [{kind: 'count-refusal', reason: 'identifier-reused'}, {kind: 'answer-run', replyId, answer: {kind: 'refused', reason: 'identifier-reused'}}]};
	}

	return known.kind === 'answered'
		? {state, effects: [{kind: 'answer-run', replyId, answer: known.answer}]}
		: {state: {...state, ledger: storePending(state.ledger, {...known, replyIds: [...known.replyIds, replyId]})}, effects: []};
}

function admitRun(state: ExecutionState, message: RunMessage, time: CurrentTime): ExecutionStep {
	const {work, replyId, serviceClass, estimatedMilliseconds} = message;
	const estimate = estimateServiceTime(state.observations, work, {serviceClass, estimatedMilliseconds}, state.settings.shortLimitMilliseconds);
	const item: QueueItem = {
		requestId: work.requestId, plan: work.plan, latestUsefulAt: work.latestUsefulAt, ...estimate,
	};
	const admission = admitItem(state.queue, item, time);
	const fingerprint = fingerprintWork(work);
	switch (admission.kind) {
		case 'refused': {
			const {reason, retryAfterMilliseconds} = admission;
			const answer = {kind: 'refused', reason, ...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds})} as const;
			const ledger = work.idempotent
				? state.ledger
				: storeAnswer(state.ledger, {
					requestId: work.requestId, answer, fingerprint, isPinned: true, wasPendingNonIdempotent: false,
				}, time.monotonic, state.settings);
			return {state: {...state, ledger}, effects: [{kind: 'count-refusal', reason}, {kind: 'answer-run', replyId, answer}]};
		}

		case 'admitted': {
			const ledger = storePending(state.ledger, {
				kind: 'queued', work, fingerprint, item, queuedAt: time.monotonic, replyIds: [replyId],
			});
			const step = {state: {...state, ledger, queue: admission.queue}, effects: []};
			return startQueued(admission.displaced === undefined ? step : refuseQueued(step, admission.displaced, 'queue-full', time), time);
		}
	}
}

function refuse(state: ExecutionState, {replyId}: RunMessage, reason: RefusalReason): ExecutionStep {
	return {state, effects: [{kind: 'count-refusal', reason}, {kind: 'answer-run', replyId, answer: {kind: 'refused', reason}}]};
}
