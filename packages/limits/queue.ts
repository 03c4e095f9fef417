import type {
	Milliseconds, MonotonicTime, PlanName, RequestId, ServiceClass,
} from '#core';
import {queuedPerSlot, reservedShareForShort} from './constants.js';
import type {
	ClassQueue, PlanLimit, PlanQueue, QueueItem, SlotQueue, SlotQueueSettings,
} from './types.js';

const emptyClass: ClassQueue = {items: [], queuedMilliseconds: 0, servedMilliseconds: 0};

/**
Derives the settings of a queue from a worker's number of slots.

@example
```
createQueueSettings(8);
//=> {slots: 8, reservedForShort: 2, maximumQueued: 256}
```
*/
export function createQueueSettings(slots: number): SlotQueueSettings {
	const reserved = Math.max(1, Math.floor(slots * reservedShareForShort));
	// The only slot of a worker cannot be reserved, or long work would never run.
	return {slots, reservedForShort: Math.min(reserved, slots - 1), maximumQueued: slots * queuedPerSlot};
}

export function createSlotQueue(settings: SlotQueueSettings): SlotQueue {
	return {
		settings, limits: new Map(), plans: new Map(), running: new Map(), longRunning: 0, queued: 0, virtualTime: 0, nextDeadline: Infinity,
	};
}

/** Limits of a plan. A plan that the slice does not list yet may use the whole worker with the minimum weight; the entry has checked that the plan exists. */
export function limitOf({limits, settings}: SlotQueue, plan: PlanName): PlanLimit {
	return limits.get(plan) ?? {weight: 1, maximumSlots: settings.slots, maximumQueued: settings.maximumQueued};
}

export function planQueueOf({plans, virtualTime}: SlotQueue, plan: PlanName): PlanQueue {
	return plans.get(plan) ?? {virtualTime, running: 0, classes: {short: emptyClass, long: emptyClass}};
}

export function countQueued({classes}: PlanQueue): number {
	return classes.short.items.length + classes.long.items.length;
}

/** Replaces the plans' limits; queued and running requests are unaffected. */
export function setLimits(queue: SlotQueue, limits: ReadonlyMap<PlanName, PlanLimit>): SlotQueue {
	return {...queue, limits};
}

/** Appends a request without checking the queue's capacity. */
export function appendItem(queue: SlotQueue, item: QueueItem): SlotQueue {
	const known = planQueueOf(queue, item.plan);
	const planQueue = countQueued(known) === 0 ? {...known, virtualTime: Math.max(known.virtualTime, queue.virtualTime)} : known;
	const classQueue = planQueue.classes[item.serviceClass];
	const next = replaceClass(planQueue, item.serviceClass, {
		...classQueue, items: [...classQueue.items, item], queuedMilliseconds: classQueue.queuedMilliseconds + item.estimatedMilliseconds,
	});
	const latestStart = (item.latestUsefulAt ?? Infinity) - item.estimatedMilliseconds;
	return {
		...replacePlan(queue, item.plan, next), queued: queue.queued + 1, nextDeadline: Math.min(queue.nextDeadline, latestStart),
	};
}

/** Removes a queued request; the queue is unchanged if it is not queued. */
export function removeItem(queue: SlotQueue, item: Readonly<Pick<QueueItem, 'requestId' | 'plan' | 'serviceClass'>>): SlotQueue {
	const plan = planQueueOf(queue, item.plan);
	const classQueue = plan.classes[item.serviceClass];
	const position = classQueue.items.findIndex(({requestId}) => requestId === item.requestId);
	const found = classQueue.items[position];
	if (found === undefined) {
		return queue;
	}

	const next = replaceClass(plan, item.serviceClass, {
		...classQueue, items: classQueue.items.toSpliced(position, 1), queuedMilliseconds: classQueue.queuedMilliseconds - found.estimatedMilliseconds,
	});
	return {...replacePlan(queue, item.plan, next), queued: queue.queued - 1};
}

/** Starts a queued request and charges its plan with the estimated service time. */
export function startItem(queue: SlotQueue, item: QueueItem, monotonic: MonotonicTime): SlotQueue {
	const {requestId, plan, serviceClass, estimatedMilliseconds} = item;
	const startTag = planQueueOf(queue, plan).virtualTime;
	const removed = removeItem(queue, item);
	const charged = charge(removed, plan, serviceClass, estimatedMilliseconds);
	const planQueue = planQueueOf(charged, plan);
	return {
		...replacePlan(charged, plan, {...planQueue, running: planQueue.running + 1}),
		running: new Map(queue.running).set(requestId, {
			plan, serviceClass, estimatedMilliseconds, startedAt: monotonic,
		}),
		longRunning: queue.longRunning + (serviceClass === 'long' ? 1 : 0),
		virtualTime: Math.max(queue.virtualTime, startTag),
	};
}

/** Frees the slot of a request and corrects the plan's charge by the difference between actual and estimated service time. */
export function endItem(queue: SlotQueue, requestId: RequestId, monotonic: MonotonicTime): SlotQueue {
	const item = queue.running.get(requestId);
	if (item === undefined) {
		return queue;
	}

	const running = new Map(queue.running);
	running.delete(requestId);
	const corrected = charge(queue, item.plan, item.serviceClass, monotonic - item.startedAt - item.estimatedMilliseconds);
	const planQueue = planQueueOf(corrected, item.plan);
	return removeIdlePlans({
		...replacePlan(corrected, item.plan, {...planQueue, running: planQueue.running - 1}),
		running,
		longRunning: queue.longRunning - (item.serviceClass === 'long' ? 1 : 0),
	});
}

/** Counts short requests that have been running for longer than the limit as long work. */
export function reclassifyOverdue(queue: SlotQueue, shortLimit: Milliseconds, monotonic: MonotonicTime): SlotQueue {
	const isOverdue = [...queue.running.values()].some(item => item.serviceClass === 'short' && monotonic - item.startedAt > shortLimit);
	if (!isOverdue) {
		return queue;
	}

	const running = new Map([...queue.running].map(([requestId, item]) => [
		requestId, monotonic - item.startedAt > shortLimit ? {...item, serviceClass: 'long' as const} : item,
	]));
	return {...queue, running, longRunning: [...running.values()].filter(({serviceClass}) => serviceClass === 'long').length};
}

function charge(queue: SlotQueue, plan: PlanName, serviceClass: ServiceClass, milliseconds: Milliseconds): SlotQueue {
	const planQueue = planQueueOf(queue, plan);
	const classQueue = planQueue.classes[serviceClass];
	const charged = replaceClass(planQueue, serviceClass, {...classQueue, servedMilliseconds: classQueue.servedMilliseconds + milliseconds});
	return replacePlan(queue, plan, {
		...charged, virtualTime: planQueue.virtualTime + (milliseconds / Math.max(1, limitOf(queue, plan).weight)),
	});
}

/** Removes idle plans whose virtual time has been passed, so that the number of plans in memory is bounded by those with work. */
function removeIdlePlans(queue: SlotQueue): SlotQueue {
	if (queue.queued === 0 && queue.running.size === 0) {
		return {...queue, plans: new Map()};
	}

	const isIdle = (plan: PlanQueue) => plan.running === 0 && countQueued(plan) === 0 && plan.virtualTime <= queue.virtualTime;
	return [...queue.plans.values()].some(isIdle)
		? {...queue, plans: new Map([...queue.plans].filter(([, plan]) => !isIdle(plan)))}
		: queue;
}

function replacePlan(queue: SlotQueue, name: PlanName, plan: PlanQueue): SlotQueue {
	return {...queue, plans: new Map(queue.plans).set(name, plan)};
}

function replaceClass(plan: PlanQueue, serviceClass: ServiceClass, classQueue: ClassQueue): PlanQueue {
	return {...plan, classes: {...plan.classes, [serviceClass]: classQueue}};
}
