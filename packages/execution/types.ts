/** State of an agent's requests, and the messages that change it. */
import type {
	AgentAnswer, Incarnation, Milliseconds, MonotonicTime, PlanName, RefusalReason, RequestId, RequestWork, RunResult, ServiceClass, ShardedMap, Timestamp,
} from '#core';
import type {
	PlanLimit, QueueItem, SlotQueue, SlotQueueSettings,
} from '#limits';
import type {Fifo} from './fifo.js';
import type {Observations} from './observations.js';

export type {CurrentTime} from '#core';

/** Correlates a message with the caller that waits for its reply. */
export type ReplyId = number;

export type ExecutionSettings = Readonly<{
	incarnation: Incarnation;
	queue: SlotQueueSettings;
	retentionMilliseconds: Milliseconds;
	toleranceMilliseconds: Milliseconds;
	shortLimitMilliseconds: Milliseconds;
	maximumRetainedAnswers: number;
	maximumRetainedBytes: number;
}>;

/** A request that waits for a slot. */
export type QueuedRecord = Readonly<{
	kind: 'queued';
	work: RequestWork;
	fingerprint: string;
	item: QueueItem;
	queuedAt: MonotonicTime;
	replyIds: readonly ReplyId[];
}>;

/** A request that was sent to the worker. */
export type RunningRecord = Readonly<{
	kind: 'running';
	work: RequestWork;
	fingerprint: string;
	queuedAt: MonotonicTime;
	startedAt: MonotonicTime;
	replyIds: readonly ReplyId[];
}>;

/** The final answer of an identifier. The tombstone of an identifier that was withdrawn before its request arrived has no fingerprint. */
export type AnsweredRecord = Readonly<{
	kind: 'answered';
	answer: AgentAnswer;
	fingerprint: string | undefined;
	isPinned: boolean;
	bytes: number;
}>;

/** State of one request identifier in the ledger. */
export type LedgerRecord = QueuedRecord | RunningRecord | AnsweredRecord;

export type RetainedAnswer = Readonly<{requestId: RequestId; expiresAt: MonotonicTime}>;

export type LedgerSize = Readonly<{answers: number; bytes: number}>;

/** Records of the identifiers that this incarnation has accepted, answered or withdrawn; answers are retained for a limited time. */
export type Ledger = Readonly<{
	records: ShardedMap<LedgerRecord>;
	/** Answers that may be evicted before they expire, oldest first. */
	evictable: Fifo<RetainedAnswer>;
	/** Answers and tombstones that are retained until they expire, oldest first. */
	pinned: Fifo<RetainedAnswer>;
	/** Size of both lists together. */
	totalSize: LedgerSize;
	/** Size of the pinned answers. */
	pinnedSize: LedgerSize;
	/** Number of pending non-idempotent requests; each will need room for its answer. */
	pendingNonIdempotent: number;
	/**
	Unknown identifiers of non-idempotent requests created at or before this time are refused.

	A request that is refused because the ledger is full leaves no record; this time prevents its identifier from starting later.
	*/
	rejectedUntil: Timestamp;
}>;

export type ExecutionTotals = Readonly<{started: number; failed: number}>;

export type ExecutionState = Readonly<{
	settings: ExecutionSettings;
	phase: 'serving' | 'draining' | 'drained';
	ledger: Ledger;
	queue: SlotQueue;
	observations: Observations;
	totals: ExecutionTotals;
	/** Latest wall-clock time seen, so that a clock that is set back does not make expired identifiers valid again. */
	latestNow: Timestamp;
}>;

export type FoundState =
	| Readonly<{kind: 'never-seen'}>
	| Readonly<{kind: 'queued'}>
	| Readonly<{kind: 'running'}>
	| Readonly<{kind: 'answered'; answer: AgentAnswer}>;

/** `running` means that the request is running, or may still start because there is no room for a tombstone; its outcome follows with its answer. */
export type WithdrawalResult =
	| Readonly<{kind: 'withdrawn'}>
	| Readonly<{kind: 'running'}>
	| Readonly<{kind: 'answered'; answer: AgentAnswer}>;

export type RunMessage = Readonly<{
	kind: 'run';
	work: RequestWork;
	/** The entry's estimate, used until the agent has enough observations of its own. */
	serviceClass: ServiceClass;
	estimatedMilliseconds: Milliseconds;
	incarnation: Incarnation;
	replyId: ReplyId;
}>;

export type ExecutionMessage =
	| RunMessage
	| Readonly<{kind: 'withdraw'; requestId: RequestId; incarnation: Incarnation; replyId: ReplyId}>
	| Readonly<{kind: 'find'; requestId: RequestId; replyId: ReplyId}>
	/** The worker guarantees that the task did not and will not start. */
	| Readonly<{kind: 'task-not-started'; requestId: RequestId; reason: RefusalReason}>
	| Readonly<{kind: 'task-ended'; requestId: RequestId; result: Pick<RunResult, 'status' | 'body'>}>
	/** It is unknown how far the task got. */
	| Readonly<{kind: 'task-lost'; requestId: RequestId; reason: RefusalReason}>
	| Readonly<{kind: 'slice-received'; limits: ReadonlyMap<PlanName, PlanLimit>}>
	| Readonly<{kind: 'drain'}>
	| Readonly<{kind: 'tick'}>;

export type ExecutionEffect =
	| Readonly<{kind: 'answer-run'; replyId: ReplyId; answer: AgentAnswer}>
	| Readonly<{kind: 'answer-find'; replyId: ReplyId; found: FoundState}>
	| Readonly<{kind: 'answer-withdraw'; replyId: ReplyId; result: WithdrawalResult}>
	| Readonly<{kind: 'start-task'; work: RequestWork}>
	| Readonly<{kind: 'count-refusal'; reason: RefusalReason}>
	| Readonly<{kind: 'schedule-tick'; delay: Milliseconds}>
	/** The last request was answered and no new one is accepted. */
	| Readonly<{kind: 'report-drained'}>;
