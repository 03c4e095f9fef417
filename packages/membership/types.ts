import type {
	AcceleratorIndex, Incarnation, JobId, MonotonicTime, PlanName, RackName, Timestamp, WorkerCapacity, WorkerId,
} from '#core';

/** Accelerators that one gang attempt holds on a worker, as the agent reported them. */
export type ReportedHolding = Readonly<{
	job: JobId;
	attempt: number;
	plan: PlanName;
	accelerators: readonly AcceleratorIndex[];
	preemptible: boolean;
	submittedAt: Timestamp;
}>;

/** Load of one agent as it last reported it. */
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
	/** Agents that may get new work, in a list that a choice can index. */
	available: readonly AgentView[];
	/** Incarnations that a newer one replaced, newest last. */
	replaced: ReadonlyMap<WorkerId, readonly Incarnation[]>;
}>;

/** Ask an agent whose report is late for a sign of life. */
export type MembershipEffect = Readonly<{kind: 'probe'; worker: WorkerId; incarnation: Incarnation}>;

export type MembershipMessage =
	| Readonly<{kind: 'announced'; agent: Omit<AgentView, 'reportedAt' | 'joinedAt'>}>
	| Readonly<{
		kind: 'reported';
		worker: WorkerId;
		incarnation: Incarnation;
		load: ReportedLoad;
		/** Absent if they did not change since the last report. */
		holdings?: readonly ReportedHolding[] | undefined;
		configurationRevision: number;
		layoutRevision: number;
	}>
	| Readonly<{kind: 'leaving'; worker: WorkerId; incarnation: Incarnation}>
	| Readonly<{kind: 'disconnected'; worker: WorkerId; incarnation: Incarnation}>
	| Readonly<{kind: 'probe-failed'; worker: WorkerId; incarnation: Incarnation}>
	| Readonly<{kind: 'tick'}>;
