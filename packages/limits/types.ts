/** The queue in front of a worker's slots. */
import type {
	Milliseconds, MonotonicTime, PlanName, RefusalReason, RequestId, ServiceClass, Timestamp,
} from '#core';

/** What one plan may use of one worker. */
export type PlanLimit = Readonly<{
	/** Share of the slots relative to the other plans with work. */
	weight: number;
	/** Maximum number of running requests. */
	maximumSlots: number;
	/** Maximum number of queued requests. */
	maximumQueued: number;
}>;

export type SlotQueueSettings = Readonly<{
	slots: number;
	/** Slots that long work may not use. */
	reservedForShort: number;
	/** Maximum number of queued requests over all plans. */
	maximumQueued: number;
}>;

/** A request that waits for a slot. */
export type QueueItem = Readonly<{
	requestId: RequestId;
	plan: PlanName;
	serviceClass: ServiceClass;
	estimatedMilliseconds: Milliseconds;
	latestUsefulAt?: Timestamp | undefined;
}>;

/** A running request. */
export type RunningItem = Readonly<{
	plan: PlanName;
	serviceClass: ServiceClass;
	startedAt: MonotonicTime;
	estimatedMilliseconds: Milliseconds;
}>;

/** The queued requests of one plan and class, oldest first. */
export type ClassQueue = Readonly<{
	items: readonly QueueItem[];
	/** Sum of the items' estimated service times. */
	queuedMilliseconds: Milliseconds;
	/** Service time received; within a plan the class with less of it goes first. */
	servedMilliseconds: Milliseconds;
}>;

/** One plan's queued requests and its virtual time in fair queueing. */
export type PlanQueue = Readonly<{
	/** Service time received, divided by the plan's weight. The plan with the least goes first. */
	virtualTime: number;
	running: number;
	classes: Readonly<Record<ServiceClass, ClassQueue>>;
}>;

export type SlotQueue = Readonly<{
	settings: SlotQueueSettings;
	limits: ReadonlyMap<PlanName, PlanLimit>;
	plans: ReadonlyMap<PlanName, PlanQueue>;
	running: ReadonlyMap<RequestId, RunningItem>;
	/** Number of running requests that count as long work. */
	longRunning: number;
	queued: number;
	/** Virtual time of the latest start. A plan that was idle resumes from here, so that it accumulates no credit while idle. */
	virtualTime: number;
	/** Lower bound of the latest start times of the queued requests; before this time none has missed its latest start. */
	nextDeadline: Timestamp;
}>;

/** Result of an admission. `displaced` was removed to make room for a plan with fewer queued requests for its weight. */
export type Admission =
	| Readonly<{kind: 'admitted'; queue: SlotQueue; displaced: QueueItem | undefined}>
	| Readonly<{kind: 'refused'; reason: RefusalReason; retryAfterMilliseconds?: Milliseconds}>;
