/** State, messages and effects of the agent that keeps the runs of one worker alive. */
import type {Milliseconds, MonotonicTime, WorkerId} from '#core';
import type {
	EndedRun, Resources, ReportedRun, ServiceName, TaskName,
} from '#jobs';

/** What a worker says of itself. */
export type Announcement = Readonly<{
	worker: WorkerId;
	/** One life of the worker. */
	incarnation: string;
	/** Unix time at which the life began; a lower one is an announcement that was delayed. */
	startedAt: number;
	/** Counts the announcements of one life. */
	sequence: number;
	service: ServiceName;
	zone: string;
	labels: readonly string[];
	rack: string;
	capacity: Resources;
	state: 'ready' | 'draining';
	leavesInMilliseconds: Milliseconds | undefined;
	/** Reading of the worker's steady clock. */
	clock: Milliseconds | undefined;
}>;

/** The worker's clock at a moment of the agent's. */
export type ClockReading = Readonly<{worker: Milliseconds; monotonic: MonotonicTime}>;

export type SupervisedWorker = Readonly<{
	announcement: Announcement;
	leavesAt: MonotonicTime | undefined;
	clock: ClockReading | undefined;
	/** Reading of the worker's clock at the latest start that it confirmed. */
	startedClock: Milliseconds;
	running: readonly ReportedRun[];
	ended: readonly EndedRun[];
	isResponsive: boolean;
	/** Latest time until which a lease was asked for. */
	leaseUntil: MonotonicTime;
	/** Ends up to this number may be forgotten by the worker. */
	notedEnd: number;
	/** Highest epoch with which the worker answered; it refuses lower ones from then on. */
	fencedEpoch: number;
}>;

export type SupervisionState = Readonly<{
	worker: SupervisedWorker | undefined;
	/** Highest epoch of a scheduler that was heard of. */
	epoch: number;
	/** Until when the agent may extend leases without another grant. */
	grantUntil: MonotonicTime;
	/** Time of day less the steady clock, at the last message; it grows while the machine is suspended. */
	clockOffset: Milliseconds | undefined;
	/** Raised by each change that the scheduler should hear of at once. */
	revision: number;
	isHolding: boolean;
	isStopped: boolean;
}>;

/** Answer of the worker to a call that extends leases and lists runs. */
export type HoldResult =
	| Readonly<{kind: 'held'; incarnation: string | undefined; clock: Milliseconds; running: readonly ReportedRun[]; ended: readonly EndedRun[]}>
	| Readonly<{kind: 'refused'; message: string}>
	| Readonly<{kind: 'failed'; message: string}>;

export type SupervisionMessage =
	| Readonly<{kind: 'announced'; announcement: Announcement}>
	| Readonly<{kind: 'departed'; worker: WorkerId}>
	/** A scheduler's answer to a renewal; `askedAt` is the time before the renewal was sent. */
	| Readonly<{kind: 'granted'; epoch: number; askedAt: MonotonicTime; validity: Milliseconds; incarnation: string | undefined; notedEnd: number}>
	/** A higher epoch was heard of. */
	| Readonly<{kind: 'epoch-raised'; epoch: number}>
	| Readonly<{kind: 'held'; order: HoldOrder; result: HoldResult}>
	| Readonly<{kind: 'hold-due'}>
	/** A start is about to be sent that extends the lease, whether it is answered or not. */
	| Readonly<{kind: 'lease-asked'; incarnation: string; leaseUntil: MonotonicTime}>
	| Readonly<{kind: 'started'; incarnation: string; task: TaskName; run: number; clock: Milliseconds | undefined}>
	| Readonly<{kind: 'stop'}>;

/** One call that extends leases. */
export type HoldOrder = Readonly<{
	worker: WorkerId;
	incarnation: string;
	epoch: number;
	/** Time on the worker's clock; undefined extends nothing. */
	deadline: Milliseconds | undefined;
	leaseUntil: MonotonicTime;
	notedEnd: number;
	wait: Milliseconds;
	/** Whether the next call follows from this one. */
	isLoop: boolean;
}>;

export type SupervisionEffect =
	| Readonly<{kind: 'hold'; order: HoldOrder}>
	| Readonly<{kind: 'schedule-hold'; delay: Milliseconds}>
	/** Something that the scheduler should hear of at once. */
	| Readonly<{kind: 'renew'}>
	| Readonly<{kind: 'say-left'; worker: WorkerId; incarnation: string}>
	| Readonly<{kind: 'log'; event: string; fields: Readonly<Record<string, unknown>>}>;
