/** What an agent knows about requests, and the messages that change it. */
import type {
	AgentAnswer, Incarnation, Milliseconds, MonotonicTime, PlanName, RefusalReason, RequestId, RequestWork, RunResult, ServiceClass, ShardedMap, Timestamp,
} from '#core';
import type {
	PlanLimit, QueueItem, SlotQueue, SlotQueueSettings,
} from '#limits';
import type {Fifo} from './fifo.js';
import type {Observations} from './observations.js';

export type {Present} from '#core';

/** Identifies a caller that waits for an answer of the execution task. */
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
	waiting: readonly ReplyId[];
}>;

/** A request that was given to the worker. */
export type RunningRecord = Readonly<{
	kind: 'running';
	work: RequestWork;
	fingerprint: string;
	queuedAt: MonotonicTime;
	startedAt: MonotonicTime;
	waiting: readonly ReplyId[];
}>;

/** The final answer of an identifier. A tombstone of an identifier that was withdrawn before it was seen has no fingerprint. */
export type AnsweredRecord = Readonly<{
	kind: 'answered';
	answer: AgentAnswer;
	fingerprint: string | undefined;
	isPinned: boolean;
	bytes: number;
}>;

/** What the ledger knows about one request identifier. */
export type LedgerRecord = QueuedRecord | RunningRecord | AnsweredRecord;

export type RetainedAnswer = Readonly<{requestId: RequestId; expiresAt: MonotonicTime}>;

export type LedgerSize = Readonly<{answers: number; bytes: number}>;

/** Every identifier that this incarnation has seen within the retention. */
export type Ledger = Readonly<{
	records: ShardedMap<LedgerRecord>;
	/** Answers that may be dropped early to make room, oldest first. */
	evictable: Fifo<RetainedAnswer>;
	/** Answers and tombstones that must stay until they expire, oldest first. */
	pinned: Fifo<RetainedAnswer>;
	/** Answers of both lists together. */
	totalSize: LedgerSize;
	/** Of these, the ones that must stay. */
	pinnedSize: LedgerSize;
	/** Unanswered non-idempotent requests; each will need room for its answer. */
	pendingNonIdempotent: number;
	/**
	Unknown identifiers of non-idempotent requests made at or before this time are refused.

	A request that is refused because the ledger is full cannot be remembered; this keeps its identifier from starting later.
	*/
	rejectedUntil: Timestamp;
}>;

export type ExecutionTotals = Readonly<{started: number; failed: number}>;

export type ExecutionState = Readonly<{
	settings: ExecutionSettings;
	phase: 'serving' | 'draining' | 'empty';
	ledger: Ledger;
	queue: SlotQueue;
	observations: Observations;
	totals: ExecutionTotals;
	/** Latest wall-clock time seen, so that a clock that is set back does not reopen expired identifiers. */
	latestNow: Timestamp;
}>;

export type FoundState =
	| Readonly<{kind: 'never-seen'}>
	| Readonly<{kind: 'queued'}>
	| Readonly<{kind: 'running'}>
	| Readonly<{kind: 'answered'; answer: AgentAnswer}>;

/** `running` means that the request cannot be withdrawn; its answer will say what became of it. */
export type WithdrawalResult =
	| Readonly<{kind: 'withdrawn'}>
	| Readonly<{kind: 'running'}>
	| Readonly<{kind: 'answered'; answer: AgentAnswer}>;

export type RunMessage = Readonly<{
	kind: 'run';
	work: RequestWork;
	/** The entry's view, used until the agent has observations of its own. */
	serviceClass: ServiceClass;
	estimatedMilliseconds: Milliseconds;
	incarnation: Incarnation;
	replyId: ReplyId;
}>;

export type ExecutionMessage =
	| RunMessage
	| Readonly<{kind: 'withdraw'; requestId: RequestId; incarnation: Incarnation; replyId: ReplyId}>
	| Readonly<{kind: 'find'; requestId: RequestId; replyId: ReplyId}>
	/** The worker promised that the task did not start. */
	| Readonly<{kind: 'task-not-started'; requestId: RequestId; reason: RefusalReason}>
	| Readonly<{kind: 'task-ended'; requestId: RequestId; result: Pick<RunResult, 'status' | 'body'>}>
	/** Nobody can say how far the task got. */
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
	/** The last request has its answer and no new one will be accepted. */
	| Readonly<{kind: 'report-empty'}>;
