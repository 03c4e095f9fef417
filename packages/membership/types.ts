import type {
	AcceleratorIndex, Incarnation, JobId, MonotonicTime, PlanName, RackName, Timestamp, WorkerCapacity, WorkerId,
} from '#core';

/** Accelerators that one gang attempt holds on a worker, as its agent reported them. */
export type ReportedHolding = Readonly<{
	job: JobId;
	attempt: number;
	plan: PlanName;
	accelerators: readonly AcceleratorIndex[];
	preemptible: boolean;
	submittedAt: Timestamp;
}>;

/** Latest reported load of one agent. */
export type ReportedLoad = Readonly<{
	shortQueued: number; shortRunning: number; longQueued: number; longRunning: number; started: number; failed: number;
}>;

/** One agent as an entry sees it. */
export type AgentView = Readonly<{
	worker: WorkerId;
	incarnation: Incarnation;
	rack: RackName;
	capacity: WorkerCapacity;
	load: ReportedLoad;
	holdings: readonly ReportedHolding[];
	reportedAt: MonotonicTime;
	joinedAt: MonotonicTime;
	isLeaving: boolean;
	configurationRevision: number;
	layoutRevision: number;
}>;

export type MembershipState = Readonly<{
	agents: ReadonlyMap<WorkerId, AgentView>;
	/** Agents that are not leaving, including those whose report is stale, as an array for random access. */
	available: readonly AgentView[];
	/** Incarnations that were replaced by a newer one, newest last. */
	replaced: ReadonlyMap<WorkerId, readonly Incarnation[]>;
	/** Last incarnation of each worker that was removed; it may reconnect until another one announces itself. */
	removed: ReadonlyMap<WorkerId, Incarnation>;
}>;

/** Probes an agent whose report is overdue. */
export type MembershipEffect = Readonly<{kind: 'probe'; worker: WorkerId; incarnation: Incarnation}>;

export type MembershipMessage =
	| Readonly<{kind: 'announced'; agent: Omit<AgentView, 'reportedAt' | 'joinedAt'>}>
	| Readonly<{
		kind: 'reported';
		worker: WorkerId;
		incarnation: Incarnation;
		load: ReportedLoad;
		/** Absent if unchanged since the last report. */
		holdings?: readonly ReportedHolding[] | undefined;
		configurationRevision: number;
		layoutRevision: number;
	}>
	| Readonly<{kind: 'leaving'; worker: WorkerId; incarnation: Incarnation}>
	| Readonly<{kind: 'disconnected'; worker: WorkerId; incarnation: Incarnation}>
	| Readonly<{kind: 'probe-failed'; worker: WorkerId; incarnation: Incarnation}>
	| Readonly<{kind: 'tick'}>;
