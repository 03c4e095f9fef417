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
Offers a request to the queue.

If the queue is full, the newest request of the plan that holds most of it for its weight makes room, unless that is the plan that asks. So a plan that floods the queue displaces only its own requests.
*/
export function admitItem(queue: SlotQueue, item: QueueItem, present: Readonly<{now: Timestamp; monotonic: MonotonicTime}>): Admission {
	const limit = limitOf(queue, item.plan);
	if (limit.maximumSlots === 0) {
		return {kind: 'refused', reason: 'quota-exceeded'};
	}

	if (latestStartOf(item) < present.now + estimateWait(queue, item, present.monotonic)) {
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

/** Time after which half of the queue should have drained, within bounds. */
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

function chooseDisplaced(queue: SlotQueue, asking: PlanName): QueueItem | undefined {
	const holdingOf = (name: PlanName, added = 0) => (countQueued(planQueueOf(queue, name)) + added) / Math.max(1, limitOf(queue, name).weight);
	let largest = holdingOf(asking, 1);
	let displaced: QueueItem | undefined;
	for (const [name, {classes}] of queue.plans) {
		if (holdingOf(name) > largest) {
			largest = holdingOf(name);
			displaced = classes.long.items.at(-1) ?? classes.short.items.at(-1);
		}
	}

	return displaced;
}
