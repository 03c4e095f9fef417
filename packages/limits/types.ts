/** The queue in front of a worker's slots. */
import type {
	Milliseconds, MonotonicTime, PlanName, RefusalReason, RequestId, ServiceClass, Timestamp,
} from '#core';

/** What one plan may use of one worker. */
export type PlanLimit = Readonly<{
	/** Share of the slots relative to other plans that have work. */
	weight: number;
	/** Requests in service at once. */
	maximumSlots: number;
	/** Requests that wait at once. */
	maximumQueued: number;
}>;

export type SlotQueueSettings = Readonly<{
	slots: number;
	/** Slots that long work may not take. */
	reservedForShort: number;
	/** Requests that wait at once, over all plans. */
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

/** A request in service. */
export type RunningItem = Readonly<{
	plan: PlanName;
	serviceClass: ServiceClass;
	startedAt: MonotonicTime;
	estimatedMilliseconds: Milliseconds;
}>;

/** The waiting requests of one plan and class, oldest first. */
export type ClassQueue = Readonly<{
	items: readonly QueueItem[];
	/** Sum of the estimates of the items. */
	queuedMilliseconds: Milliseconds;
	/** Service received; within a plan the class with less of it goes first. */
	servedMilliseconds: Milliseconds;
}>;

/** One plan's waiting requests and its place in the order between plans. */
export type PlanQueue = Readonly<{
	/** Service received divided by the plan's weight. The plan with the least goes first. */
	virtualTime: number;
	running: number;
	classes: Readonly<Record<ServiceClass, ClassQueue>>;
}>;

export type SlotQueue = Readonly<{
	settings: SlotQueueSettings;
	limits: ReadonlyMap<PlanName, PlanLimit>;
	plans: ReadonlyMap<PlanName, PlanQueue>;
	running: ReadonlyMap<RequestId, RunningItem>;
	/** Running requests that count against the share of long work. */
	longRunning: number;
	queued: number;
	/** Virtual time of the start that was made last; a plan that was idle goes on from here and gains nothing by its pause. */
	virtualTime: number;
	/** No waiting request becomes useless before this time. */
	nextDeadline: Timestamp;
}>;

/** Result of offering a request to the queue. `displaced` was removed for the sake of a plan that holds less of the queue. */
export type Admission =
	| Readonly<{kind: 'admitted'; queue: SlotQueue; displaced: QueueItem | undefined}>
	| Readonly<{kind: 'refused'; reason: RefusalReason; retryAfterMilliseconds?: Milliseconds}>;
