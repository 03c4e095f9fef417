import type {
	Incarnation, MonotonicTime, RackName, WorkerCapacity, WorkerId,
} from '#core';

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
	reportedAt: MonotonicTime;
	joinedAt: MonotonicTime;
	isLeaving: boolean;
	configurationRevision: number;
}>;

export type MembershipState = Readonly<{agents: ReadonlyMap<WorkerId, AgentView>}>;

export type MembershipMessage =
	| Readonly<{kind: 'announced'; agent: Omit<AgentView, 'reportedAt' | 'joinedAt'>}>
	| Readonly<{kind: 'reported'; worker: WorkerId; incarnation: Incarnation; load: ReportedLoad; configurationRevision: number}>
	| Readonly<{kind: 'leaving'; worker: WorkerId; incarnation: Incarnation}>
	| Readonly<{kind: 'disconnected'; worker: WorkerId; incarnation: Incarnation}>;
