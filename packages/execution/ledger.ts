import {
	createShardedMap, getValue, withoutValue, withValue, type AgentAnswer, type MonotonicTime, type RequestId, type Timestamp,
} from '#core';
import {answerOverheadBytes} from './constants.js';
import {
	emptyFifo, enqueue, normalize, dequeue,
} from './fifo.js';
import type {
	AnsweredRecord, ExecutionSettings, Ledger, LedgerRecord, LedgerSize, QueuedRecord, RunningRecord,
} from './types.js';

export const emptyLedger: Ledger = {
	records: createShardedMap(),
	evictable: emptyFifo,
	pinned: emptyFifo,
	totalSize: {answers: 0, bytes: 0},
	pinnedSize: {answers: 0, bytes: 0},
	pendingNonIdempotent: 0,
	rejectedUntil: -Infinity,
};

export function findRecord({records}: Ledger, requestId: RequestId): LedgerRecord | undefined {
	return getValue(records, requestId);
}

/** Stores a record that has no answer yet. */
export function storePending(ledger: Ledger, record: QueuedRecord | RunningRecord): Ledger {
	const {requestId, idempotent} = record.work;
	const isNew = findRecord(ledger, requestId) === undefined;
	return {
		...ledger,
		records: withValue<LedgerRecord>(ledger.records, requestId, record),
		pendingNonIdempotent: ledger.pendingNonIdempotent + (isNew && !idempotent ? 1 : 0),
	};
}

/** Removes a pending request, which may then be submitted again. Only for refused idempotent requests. */
export function removePending(ledger: Ledger, requestId: RequestId): Ledger {
	return {...ledger, records: withoutValue(ledger.records, requestId)};
}

export type NewAnswer = Readonly<{
	requestId: RequestId;
	answer: AgentAnswer;
	fingerprint: string | undefined;
	/** Pinned answers are retained until they expire; the others may be evicted earlier. */
	isPinned: boolean;
	/** Whether a non-idempotent request was pending under the identifier. */
	wasPendingNonIdempotent: boolean;
}>;

/** Stores the final answer of an identifier and evicts the oldest unpinned answers if the limits are exceeded. */
export function storeAnswer(ledger: Ledger, newAnswer: NewAnswer, monotonic: MonotonicTime, settings: ExecutionSettings): Ledger {
	const {requestId, answer, fingerprint, isPinned, wasPendingNonIdempotent} = newAnswer;
	const bytes = answerOverheadBytes + JSON.stringify(answer).length;
	// The identifier's timestamp may be ahead by up to the tolerance, and the identifier stays valid for the retention from then on.
	const retained = {requestId, expiresAt: monotonic + settings.retentionMilliseconds + settings.toleranceMilliseconds};
	const record: AnsweredRecord = {
		kind: 'answered', answer, fingerprint, isPinned, bytes,
	};
	return evictToFit({
		...ledger,
		records: withValue<LedgerRecord>(ledger.records, requestId, record),
		evictable: isPinned ? ledger.evictable : enqueue(ledger.evictable, retained),
		pinned: isPinned ? enqueue(ledger.pinned, retained) : ledger.pinned,
		totalSize: addSize(ledger.totalSize, 1, bytes),
		pinnedSize: isPinned ? addSize(ledger.pinnedSize, 1, bytes) : ledger.pinnedSize,
		pendingNonIdempotent: ledger.pendingNonIdempotent - (wasPendingNonIdempotent ? 1 : 0),
	}, settings);
}

/** Whether another pinned answer fits after evicting all unpinned ones, counting the answers that pending non-idempotent requests will need. */
export function hasCapacity({pinnedSize, pendingNonIdempotent}: Ledger, settings: ExecutionSettings): boolean {
	const expectedAnswers = pendingNonIdempotent + 1;
	return isWithinLimits(addSize(pinnedSize, expectedAnswers, expectedAnswers * answerOverheadBytes), settings);
}

/** Refuses all unknown identifiers of non-idempotent requests created at or before the given time. */
export function rejectUntil(ledger: Ledger, createdAt: Timestamp): Ledger {
	return {...ledger, rejectedUntil: Math.max(ledger.rejectedUntil, createdAt)};
}

/** Removes the answers whose retention has ended. */
export function evictExpired(ledger: Ledger, monotonic: MonotonicTime): Ledger {
	let next = ledger;
	for (const list of ['evictable', 'pinned'] as const) {
		next = {...next, [list]: normalize(next[list])};
		for (let first = dequeue(next[list]); first !== undefined && first.item.expiresAt <= monotonic; first = dequeue(next[list])) {
			next = removeAnswer({...next, [list]: first.rest}, first.item.requestId);
		}
	}

	return next;
}

function evictToFit(ledger: Ledger, settings: ExecutionSettings): Ledger {
	let next = ledger;
	while (!isWithinLimits(next.totalSize, settings)) {
		const first = dequeue(next.evictable);
		if (first === undefined) {
			break;
		}

		next = removeAnswer({...next, evictable: first.rest}, first.item.requestId);
	}

	return next;
}

function isWithinLimits({answers, bytes}: LedgerSize, settings: ExecutionSettings): boolean {
	return answers <= settings.maximumRetainedAnswers && bytes <= settings.maximumRetainedBytes;
}

function addSize(size: LedgerSize, answers: number, bytes: number): LedgerSize {
	return {answers: size.answers + answers, bytes: size.bytes + bytes};
}

function removeAnswer(ledger: Ledger, requestId: RequestId): Ledger {
	const record = findRecord(ledger, requestId);
	return record?.kind === 'answered'
		? {
			...ledger,
			records: withoutValue(ledger.records, requestId),
			totalSize: addSize(ledger.totalSize, -1, -record.bytes),
			pinnedSize: record.isPinned ? addSize(ledger.pinnedSize, -1, -record.bytes) : ledger.pinnedSize,
		}
		: ledger;
}
