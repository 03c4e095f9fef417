import type {
	AgentAnswer, Incarnation, MonotonicTime, RequestId, RequestWork, RunResult, ServiceClass, Timestamp,
} from '#core';

/** The present time as a deciding function sees it. */
export type Present = Readonly<{now: Timestamp; monotonic: MonotonicTime}>;

/** What the ledger knows about one request identifier. */
export type LedgerRecord =
	| Readonly<{kind: 'queued'; work: RequestWork; serviceClass: ServiceClass; queuedAt: MonotonicTime; waiting: readonly number[]}>
	| Readonly<{kind: 'running'; work: RequestWork; serviceClass: ServiceClass; queuedAt: MonotonicTime; startedAt: MonotonicTime; waiting: readonly number[]}>
	| Readonly<{kind: 'answered'; answer: AgentAnswer; answeredAt: MonotonicTime}>;

export type ExecutionState = Readonly<{
	incarnation: Incarnation;
	slots: number;
	records: ReadonlyMap<RequestId, LedgerRecord>;
}>;

export type ExecutionMessage =
	| Readonly<{kind: 'run'; work: RequestWork; serviceClass: ServiceClass; incarnation: Incarnation; replyId: number}>
	| Readonly<{kind: 'ended'; requestId: RequestId; result: Pick<RunResult, 'status' | 'body'>}>;

export type ExecutionEffect =
	| Readonly<{kind: 'reply'; replyId: number; answer: AgentAnswer}>
	| Readonly<{kind: 'start-task'; work: RequestWork}>;
