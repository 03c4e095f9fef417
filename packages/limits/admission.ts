import type {
	Milliseconds, MonotonicTime, PlanName, Timestamp,
} from '#core';
import {maximumRetryAfterMilliseconds, minimumRetryAfterMilliseconds} from './constants.js';
import {canStartNow, estimateWait, latestStartOf} from './deadlines.js';
import {
	appendItem, countQueued, limitOf, planQueueOf, removeItem,
} from './queue.js';
import type {Admission, QueueItem, SlotQueue} from './types.js';

/**
Admits a request to the queue or refuses it.

If the queue is full, the new request displaces the newest one, long before short, of the plan with the most queued requests relative to its weight, unless that is its own plan. So a plan that floods the queue cannot displace requests of other plans.
*/
export function admitItem(queue: SlotQueue, item: QueueItem, time: Readonly<{now: Timestamp; monotonic: MonotonicTime}>): Admission {
	const limit = limitOf(queue, item.plan);
	if (limit.maximumSlots === 0) {
		return {kind: 'refused', reason: 'quota-exceeded'};
	}

	if (latestStartOf(item) < time.now + estimateWait(queue, item, time.monotonic)) {
		return {kind: 'refused', reason: 'deadline-unreachable'};
	}

	if (canStartNow(queue, item)) {
		return {kind: 'admitted', queue: appendItem(queue, item), displaced: undefined};
	}

	if (countQueued(planQueueOf(queue, item.plan)) >= limit.maximumQueued) {
		return refuseFull(queue);
	}

	if (queue.queued < queue.settings.maximumQueued) {
		return {kind: 'admitted', queue: appendItem(queue, item), displaced: undefined};
	}

	const displaced = chooseDisplaced(queue, item.plan);
	return displaced === undefined
		? refuseFull(queue)
		: {kind: 'admitted', queue: appendItem(removeItem(queue, displaced), item), displaced};
}

/** Estimates when half of the queue will have been served, within the bounds of the retry delay. */
export function estimateRetryAfter({plans, settings}: SlotQueue): Milliseconds {
	let queued = 0;
	for (const {classes} of plans.values()) {
		queued += classes.short.queuedMilliseconds + classes.long.queuedMilliseconds;
	}

	return Math.min(maximumRetryAfterMilliseconds, Math.max(minimumRetryAfterMilliseconds, Math.round(queued / settings.slots / 2)));
}

function refuseFull(queue: SlotQueue): Admission {
	return {kind: 'refused', reason: 'queue-full', retryAfterMilliseconds: estimateRetryAfter(queue)};
}

function chooseDisplaced(queue: SlotQueue, requestingPlan: PlanName): QueueItem | undefined {
	const weightedCountOf = (name: PlanName, added = 0) => (countQueued(planQueueOf(queue, name)) + added) / Math.max(1, limitOf(queue, name).weight);
	let largest = weightedCountOf(requestingPlan, 1);
	let displaced: QueueItem | undefined;
	for (const [name, {classes}] of queue.plans) {
		if (weightedCountOf(name) > largest) {
			largest = weightedCountOf(name);
			displaced = classes.long.items.at(-1) ?? classes.short.items.at(-1);
		}
	}

	return displaced;
}
