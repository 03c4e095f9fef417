/** State, messages and effects of the agent that extends the leases of one worker's runs. */
import type {Milliseconds, MonotonicTime, WorkerId} from '#core';
import type {
	EndedRun, ListedEnds, LostRun, Resources, ReportedRun, ServiceName, TaskName, WorkerIncarnation,
} from '#jobs';

/** A worker's description of itself. */
export type Announcement = Readonly<{
	worker: WorkerId;
	/** Address (host:port) at which it takes orders. */
	address: string;
	/** Identifies one run of the worker process. */
	incarnation: string;
	/** Unix time at which the incarnation started; a lower one shows a delayed announcement of an earlier incarnation. */
	startedAt: number;
	/** Counts the announcements of one incarnation. */
	sequence: number;
	service: ServiceName;
	zone: string;
	labels: readonly string[];
	rack: string;
	capacity: Resources;
	state: 'ready' | 'draining';
	leavesInMilliseconds: Milliseconds | undefined;
	/** How much longer the worker stays slow after its start; absent if it is warm. */
	coldForMilliseconds?: Milliseconds | undefined;
	/** Reading of the worker's monotonic clock. */
	clock: Milliseconds | undefined;
}>;

/** A reading of the worker's clock with the agent's clock at its receipt. */
export type ClockReading = Readonly<{worker: Milliseconds; monotonic: MonotonicTime}>;

/** A start that was sent to a worker and not answered. */
export type UnansweredStart = Readonly<{worker: WorkerId; task: TaskName; run: number; sentAt: MonotonicTime}>;

export type SupervisedWorker = Readonly<{
	announcement: Announcement;
	leavesAt: MonotonicTime | undefined;
	/** Until when the worker stays slow after its start. */
	coldUntil: MonotonicTime | undefined;
	/** Whether a departure was announced; it is complete once the worker no longer answers. */
	isLeaving: boolean;
	clock: ClockReading | undefined;
	/** Reading of the worker's clock at the latest start that it confirmed. */
	latestStartClock: Milliseconds;
	running: readonly ReportedRun[];
	ended: ListedEnds;
	isResponsive: boolean;
	/** When the agent learned of this incarnation. */
	adoptedAt: MonotonicTime;
	/** When the latest call was made that it answered with its runs. */
	answeredAt: MonotonicTime;
	/** Since when it answers no calls; undefined while it does. */
	silentSince: MonotonicTime | undefined;
	/** Latest lease expiry that was requested, on the agent's clock. */
	leaseUntil: MonotonicTime;
	/** Expiry of the grant on the worker's clock, which does not stand still with the agent's machine; undefined until a renewal that reported the worker was granted. */
	grantDeadline: Milliseconds | undefined;
	/** Number of the last ended run that is stored; the worker may discard ends up to it. */
	notedEnd: number;
	/** Highest number that an answered call has acknowledged. Calls repeat an acknowledgement only until then: one that the next incarnation carries out discards ends of its own. */
	acknowledgedEnd: number;
	/** When acknowledgements were sent that are not answered. */
	unansweredAcknowledgements: readonly MonotonicTime[];
	/** Until when a call for an earlier incarnation may discard ends; the worker gets no starts before. */
	startsBarredUntil: MonotonicTime;
	/** Starts that earlier incarnations of the same identifier did not answer. They are stopped before the worker is reported, since it may still carry them out. */
	startsToRevoke: readonly UnansweredStart[];
	/** Highest epoch that the worker has confirmed; it refuses lower ones from then on. */
	fencedEpoch: number;
}>;

/** The end of an incarnation, with the ends that it listed and that are not acknowledged. */
export type EndedIncarnation = WorkerIncarnation & Readonly<{
	/** `replaced`: another incarnation took its place without a departure. */
	ending: 'left' | 'replaced';
	ended: readonly EndedRun[];
}>;

export type SupervisionState = Readonly<{
	worker: SupervisedWorker | undefined;
	/** The last worker that left; it may come back under its identifier. */
	departed: SupervisedWorker | undefined;
	/** Announcement of another incarnation, until the worker confirms or denies it. */
	candidate: Announcement | undefined;
	/** Whether a check of the candidate or of a departure is scheduled. */
	isCheckScheduled: boolean;
	unansweredStarts: readonly UnansweredStart[];
	/** Incarnations whose end no scheduler has confirmed yet, oldest first. */
	endedIncarnations: readonly EndedIncarnation[];
	/** Incarnations whose ends a scheduler has received, with the time. They are reported again to the next one, since the first may be lost before it has stored them. */
	reportedIncarnations: ReadonlyArray<Readonly<{ended: EndedIncarnation; at: MonotonicTime}>>;
	/** Runs that had made no progress when their incarnation crashed, and starts without an answer that probably crashed it, with the time when the next one announced itself. */
	lostRuns: ReadonlyArray<LostRun & Readonly<{at: MonotonicTime}>>;
	/** Highest known epoch of a scheduler. */
	epoch: number;
	/** Expiry of the grant; leases are extended no further without another one. */
	grantUntil: MonotonicTime;
	/** Grants that were requested until this time are void, since the machine was suspended after it. */
	grantsVoidUntil: MonotonicTime;
	/** When the first message arrived; earlier starts are another process's. */
	receivingSince: MonotonicTime | undefined;
	/** Wall clock minus monotonic clock at the last message; it grows while the machine is suspended. */
	clockOffset: Milliseconds | undefined;
	/** Incremented by each change that must be reported to the scheduler at once. */
	revision: number;
	/** Whether a recurring lease extension is in flight or scheduled. */
	isExtending: boolean;
	isStopped: boolean;
}>;

/** The worker's answer to a lease extension, with its running and ended runs. */
export type LeaseExtensionResult =
	| Readonly<{kind: 'answered'; incarnation: string | undefined; clock: Milliseconds; running: readonly ReportedRun[]; ended: ListedEnds}>
	| Readonly<{kind: 'refused'; message: string}>
	/** No process with the worker's identifier takes calls at its address. */
	| Readonly<{kind: 'absent'; message: string}>
	| Readonly<{kind: 'failed'; message: string}>;

export type SupervisionMessage =
	| Readonly<{kind: 'announced'; announcement: Announcement}>
	| Readonly<{kind: 'departed'; worker: WorkerId}>
	/** The scheduler's answer to a renewal; `sentAt` is taken before the renewal is sent. */
	| Readonly<{
		kind: 'granted'; epoch: number; sentAt: MonotonicTime; validity: Milliseconds; incarnation: string | undefined; notedEnd: number;
		/** The worker that the renewal reported, with the estimate of its clock when it was sent. */
		reported: Readonly<{incarnation: string; clock: Milliseconds | undefined}> | undefined;
	}>
	/** The scheduler has received the end of an incarnation. */
	| Readonly<{kind: 'incarnation-end-reported'; incarnation: EndedIncarnation}>
	/** An entry reported an epoch that may be higher. */
	| Readonly<{kind: 'epoch-raised'; epoch: number}>
	| Readonly<{kind: 'extension-answered'; extension: LeaseExtension; result: LeaseExtensionResult}>
	| Readonly<{kind: 'extension-due'}>
	| Readonly<{kind: 'check-due'}>
	/** Precedes a start; the start may extend the lease even if it is not answered. */
	| Readonly<{kind: 'start-requested'; incarnation: string; task: TaskName; run: number; leaseUntil: MonotonicTime}>
	| Readonly<{kind: 'start-refused'; task: TaskName; run: number}>
	| Readonly<{kind: 'probe-due'}>
	/** The worker has confirmed these stops. */
	| Readonly<{kind: 'starts-revoked'; incarnation: string; starts: readonly UnansweredStart[]}>
	| Readonly<{kind: 'started'; incarnation: string; task: TaskName; run: number; clock: Milliseconds | undefined}>
	| Readonly<{kind: 'stop'}>;

/** One call that extends the leases of all runs and lists the runs. */
export type LeaseExtension = Readonly<{
	worker: WorkerId;
	incarnation: string;
	epoch: number;
	/** Lease expiry on the worker's clock; undefined extends no lease. */
	deadline: Milliseconds | undefined;
	leaseUntil: MonotonicTime;
	notedEnd: number;
	/** When the call was made, on the agent's clock; left out by calls whose answers need no order. */
	sentAt?: MonotonicTime;
	wait: Milliseconds;
	/** Whether the answer triggers the next call. */
	isRecurring: boolean;
}>;

export type SupervisionEffect =
	| Readonly<{kind: 'extend-leases'; extension: LeaseExtension}>
	| Readonly<{kind: 'schedule-extension'; delay: Milliseconds}>
	| Readonly<{kind: 'revoke-starts'; epoch: number; worker: SupervisedWorker}>
	| Readonly<{kind: 'schedule-check'; delay: Milliseconds}>
	| Readonly<{kind: 'schedule-probe'; delay: Milliseconds}>
	/** Asks for the worker's runs; only an answer says something. */
	| Readonly<{kind: 'probe'; extension: LeaseExtension}>
	/** Reports a change to the scheduler at once. */
	| Readonly<{kind: 'renew'}>
	| Readonly<{kind: 'log'; event: string; fields: Readonly<Record<string, unknown>>}>;
