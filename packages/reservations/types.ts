/** State, messages and effects of the reservations of one agent's accelerators. */
import type {
	AcceleratorIndex, JobId, Milliseconds, MonotonicTime, PlanName, RefusalReason, RunResult, Timestamp,
} from '#core';

/** One attempt of a job. A higher attempt supersedes a lower one. */
export type GangReference = Readonly<{job: JobId; attempt: number}>;

/** One task on the worker. `attempt` is the attempt under which the task was started. */
export type TaskReference = Readonly<{job: JobId; attempt: number; member: number}>;

export type MemberState =
	| Readonly<{kind: 'reserved'}>
	| Readonly<{kind: 'committed'}>
	| Readonly<{kind: 'running'}>
	| Readonly<{kind: 'finished'; result: RunResult}>
	| Readonly<{kind: 'stopped'; started: boolean; reason: RefusalReason; checkpoint?: unknown}>;

/** Whether an entry still has to acknowledge the end of a member. */
export type EndNotification = Readonly<{kind: 'none'}> | Readonly<{kind: 'pending'; lastSentAt: MonotonicTime}>;

export type MemberRecord = Readonly<{
	member: number;
	accelerators: readonly AcceleratorIndex[];
	state: MemberState;
	startedAt: MonotonicTime;
	checkpoint?: unknown;
	notification: EndNotification;
}>;

/** Phase of a gang on this worker, shared by all its members. */
export type GangPhase =
	/** Accelerators are reserved, but borrowers or an earlier attempt still hold some of them. */
	| Readonly<{kind: 'reclaiming'; leaseEndsAt: MonotonicTime}>
	| Readonly<{kind: 'reserved'; leaseEndsAt: MonotonicTime}>
	/** Not displaced by an older gang, because members on other workers may have started already. */
	| Readonly<{kind: 'committed'; leaseEndsAt: MonotonicTime}>
	| Readonly<{kind: 'started'; leaseEndsAt: MonotonicTime}>
	/** Asked to checkpoint. Stopped at `stopAt` even without a checkpoint. */
	| Readonly<{kind: 'evicting'; reason: RefusalReason; stopAt: MonotonicTime}>
	/** Holds its accelerators until the worker confirms that every task has stopped. */
	| Readonly<{kind: 'stopping'; reason: RefusalReason; lastRequestedAt: MonotonicTime}>
	| Readonly<{kind: 'ended'; reason: RefusalReason | 'finished'; endedAt: MonotonicTime}>;

export type GangRecord = Readonly<{
	job: JobId;
	attempt: number;
	/** Attempt that identifies the tasks on the worker; lower than `attempt` after an adoption. */
	taskAttempt: number;
	plan: PlanName;
	submittedAt: Timestamp;
	preemptible: boolean;
	members: readonly MemberRecord[];
	phase: GangPhase;
	/** Stop requests that are answered once every member has stopped. */
	pendingReplyIds: readonly number[];
}>;

/** Fencing state of a job. `attempt` is the highest one seen. */
export type Fence = Readonly<{
	attempt: number;
	/** Whether the attempt was stopped, so that a late reservation of it is refused. */
	isClosed: boolean;
	/** Lowest attempt that started on this incarnation; 0 if none did. */
	firstStartedAttempt: number;
	/** Time of the last new reservation, start, stop or end; commits and renewals do not change it. */
	retentionStartsAt: MonotonicTime;
}>;

/** Accelerators that are guaranteed to a plan. */
export type Cell = Readonly<{plan: PlanName; accelerators: readonly AcceleratorIndex[]}>;

export type ReservationState = Readonly<{
	accelerators: number;
	cells: readonly Cell[];
	layoutRevision: number;
	/** Time for an evicted borrower to checkpoint before it is stopped. */
	graceMilliseconds: Milliseconds;
	/** Keyed by job and attempt. */
	gangs: ReadonlyMap<string, GangRecord>;
	fences: ReadonlyMap<JobId, Fence>;
	isDraining: boolean;
	/** Reservations are refused before this time, because tasks of an earlier incarnation may still hold accelerators. */
	acceptsFrom: MonotonicTime;
}>;

export type ReserveMessage = GangReference & Readonly<{
	kind: 'reserve';
	plan: PlanName;
	submittedAt: Timestamp;
	preemptible: boolean;
	members: ReadonlyArray<Readonly<{member: number; accelerators: readonly AcceleratorIndex[]}>>;
	leaseMilliseconds: Milliseconds;
	replyId: number;
}>;

export type StartMessage = GangReference & Readonly<{
	kind: 'start';
	operation: string;
	payload: unknown;
	/** Checkpoints of an earlier attempt, by member number. */
	checkpoints: Readonly<Record<string, unknown>>;
	leaseMilliseconds: Milliseconds;
	replyId: number;
}>;

/** One gang of a renewal. `raiseTo` raises its attempt, so that messages of the previous owner become stale. */
export type Renewal = GangReference & Readonly<{raiseTo?: number | undefined}>;

export type ReservationMessage =
	| ReserveMessage
	| GangReference & Readonly<{kind: 'commit'; leaseMilliseconds: Milliseconds; replyId: number}>
	| StartMessage
	| Readonly<{kind: 'renew'; gangs: readonly Renewal[]; leaseMilliseconds: Milliseconds; replyId: number}>
	| GangReference & Readonly<{kind: 'stop'; mode: 'checkpoint' | 'stop'; replyId: number}>
	| Readonly<{kind: 'find'; job: JobId; replyId: number}>
	| Readonly<{kind: 'slice-received'; cells: readonly Cell[]; layoutRevision: number}>
	| Readonly<{kind: 'task-finished'; task: TaskReference; status: RunResult['status']; body: unknown}>
	/** The worker no longer runs the task, or never received it. */
	| Readonly<{kind: 'task-stopped'; task: TaskReference; wasStarted: boolean}>
	/** The worker does not respond to queries about the task. The task is stopped once the worker responds again. */
	| Readonly<{kind: 'task-lost'; task: TaskReference}>
	| Readonly<{kind: 'task-checkpointed'; task: TaskReference; checkpoint: unknown}>
	| TaskReference & Readonly<{kind: 'ended-acknowledged'}>
	/** No task of an earlier incarnation runs on the worker any more. */
	| Readonly<{kind: 'worker-cleared'}>
	| Readonly<{kind: 'drain'}>
	| Readonly<{kind: 'tick'}>;

export type ReservationAnswer =
	| Readonly<{kind: 'accepted'}>
	| Readonly<{kind: 'reclaiming'; retryAfterMilliseconds: Milliseconds}>
	| Readonly<{kind: 'refused'; reason: RefusalReason}>
	| Readonly<{kind: 'renewed'; lapsed: readonly GangReference[]; ended: readonly GangReference[]}>
	| Readonly<{kind: 'never-started'}>
	| Readonly<{kind: 'stopped'; checkpoints: Readonly<Record<string, unknown>>}>
	| Readonly<{kind: 'finished'}>
	| Readonly<{kind: 'found'; attempt: number; members: ReadonlyArray<Readonly<{member: number; state: MemberState}>>}>;

export type ReservationEffect =
	| Readonly<{kind: 'reply'; replyId: number; answer: ReservationAnswer}>
	| Readonly<{
		kind: 'start-task';
		task: TaskReference;
		operation: string;
		payload: unknown;
		checkpoint: unknown;
		accelerators: readonly AcceleratorIndex[];
		leaseMilliseconds: Milliseconds;
	}>
	| Readonly<{kind: 'renew-tasks'; tasks: readonly TaskReference[]; leaseMilliseconds: Milliseconds}>
	| Readonly<{kind: 'checkpoint-task'; task: TaskReference}>
	| Readonly<{kind: 'stop-task'; task: TaskReference}>
	| Readonly<{kind: 'notify-ended'; job: JobId; attempt: number; member: number; state: MemberState}>
	| Readonly<{kind: 'schedule-tick'; delay: Milliseconds}>;

/** Accelerators that a gang holds on this worker, as reported to entries. */
export type Holding = GangReference & Readonly<{
	plan: PlanName;
	accelerators: readonly AcceleratorIndex[];
	preemptible: boolean;
	submittedAt: Timestamp;
}>;
