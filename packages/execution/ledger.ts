import {
	createShardedMap, getValue, withoutValue, withValue, type AgentAnswer, type MonotonicTime, type RequestId, type Timestamp,
} from '#core';
import {answerOverheadBytes} from './constants.js';
import {
	emptyFifo, pushLast, settle, takeFirst,
} from './fifo.js';
import type {
	AnsweredRecord, ExecutionSettings, Ledger, LedgerRecord, LedgerSize, QueuedRecord, RunningRecord,
} from './types.js';

export const emptyLedger: Ledger = {
	records: createShardedMap(),
	replaceable: emptyFifo,
	binding: emptyFifo,
	remembered: {answers: 0, bytes: 0},
	bound: {answers: 0, bytes: 0},
	pendingBinding: 0,
	closedUntil: -Infinity,
};

export function findRecord({records}: Ledger, requestId: RequestId): LedgerRecord | undefined {
	return getValue(records, requestId);
}

/** Writes a record that has no answer yet. */
export function putPending(ledger: Ledger, record: QueuedRecord | RunningRecord): Ledger {
	const {requestId, idempotent} = record.work;
	const isNew = findRecord(ledger, requestId) === undefined;
	return {
		...ledger,
		records: withValue<LedgerRecord>(ledger.records, requestId, record),
		pendingBinding: ledger.pendingBinding + (isNew && !idempotent ? 1 : 0),
	};
}

/** Forgets an unanswered request, which may then be submitted again. Only for idempotent requests that were refused. */
export function dropPending(ledger: Ledger, requestId: RequestId): Ledger {
	return {...ledger, records: withoutValue(ledger.records, requestId)};
}

export type AnswerToRemember = Readonly<{
	requestId: RequestId;
	answer: AgentAnswer;
	fingerprint: string | undefined;
	/** Binding answers are kept until they expire; the others only while there is room. */
	isBinding: boolean;
	/** Whether a non-idempotent request was pending under the identifier. */
	wasPendingBinding: boolean;
}>;

/** Writes the final answer of an identifier and drops the oldest replaceable answers if there is no room left. */
export function putAnswer(ledger: Ledger, given: AnswerToRemember, monotonic: MonotonicTime, settings: ExecutionSettings): Ledger {
	const {requestId, answer, fingerprint, isBinding, wasPendingBinding} = given;
	const bytes = answerOverheadBytes + JSON.stringify(answer).length;
	// The identifier may have been made up to the tolerance after now, and stays valid for the retention from then.
	const remembered = {requestId, expiresAt: monotonic + settings.retentionMilliseconds + settings.toleranceMilliseconds};
	const record: AnsweredRecord = {
		kind: 'answered', answer, fingerprint, isBinding, bytes,
	};
	return makeRoom({
		...ledger,
		records: withValue<LedgerRecord>(ledger.records, requestId, record),
		replaceable: isBinding ? ledger.replaceable : pushLast(ledger.replaceable, remembered),
		binding: isBinding ? pushLast(ledger.binding, remembered) : ledger.binding,
		remembered: grow(ledger.remembered, 1, bytes),
		bound: isBinding ? grow(ledger.bound, 1, bytes) : ledger.bound,
		pendingBinding: ledger.pendingBinding - (wasPendingBinding ? 1 : 0),
	}, settings);
}

/** Whether another binding answer fits once the replaceable ones are dropped, counting those that are still to come. */
export function hasRoom({bound, pendingBinding}: Ledger, settings: ExecutionSettings): boolean {
	const coming = pendingBinding + 1;
	return isWithin(grow(bound, coming, coming * answerOverheadBytes), settings);
}

/** Refuses all unknown identifiers of non-idempotent requests made until the given time. */
export function closeUntil(ledger: Ledger, madeAt: Timestamp): Ledger {
	return {...ledger, closedUntil: Math.max(ledger.closedUntil, madeAt)};
}

/** Drops the answers whose retention has ended. */
export function forgetExpired(ledger: Ledger, monotonic: MonotonicTime): Ledger {
	let next = ledger;
	for (const list of ['replaceable', 'binding'] as const) {
		next = {...next, [list]: settle(next[list])};
		for (let first = takeFirst(next[list]); first !== undefined && first.item.expiresAt <= monotonic; first = takeFirst(next[list])) {
			next = forget({...next, [list]: first.rest}, first.item.requestId);
		}
	}

	return next;
}

function makeRoom(ledger: Ledger, settings: ExecutionSettings): Ledger {
	let next = ledger;
	while (!isWithin(next.remembered, settings)) {
		const first = takeFirst(next.replaceable);
		if (first === undefined) {
			break;
		}

		next = forget({...next, replaceable: first.rest}, first.item.requestId);
	}

	return next;
}

function isWithin({answers, bytes}: LedgerSize, settings: ExecutionSettings): boolean {
	return answers <= settings.maximumRememberedAnswers && bytes <= settings.maximumRememberedBytes;
}

function grow(size: LedgerSize, answers: number, bytes: number): LedgerSize {
	return {answers: size.answers + answers, bytes: size.bytes + bytes};
}

function forget(ledger: Ledger, requestId: RequestId): Ledger {
	const record = findRecord(ledger, requestId);
	return record?.kind === 'answered'
		? {
			...ledger,
			records: withoutValue(ledger.records, requestId),
			remembered: grow(ledger.remembered, -1, -record.bytes),
			bound: record.isBinding ? grow(ledger.bound, -1, -record.bytes) : ledger.bound,
		}
		: ledger;
}
