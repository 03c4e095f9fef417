import type {
	Milliseconds, MonotonicTime, ServiceClass, Timestamp,
} from '#core';
import {countFreeSlots, isBelowLimit} from './choose-next.js';
import {limitOf, planQueueOf, removeItem} from './queue.js';
import type {
	PlanQueue, QueueItem, RunningItem, SlotQueue,
} from './types.js';

/** Whether a request would start at once. No queued request competes for its slot, since a free slot is never left unused while a request may take it. */
export function canStartNow(queue: SlotQueue, {plan, serviceClass}: QueueItem): boolean {
	return countFreeSlots(queue, serviceClass) > 0 && isBelowLimit(queue, plan, planQueueOf(queue, plan));
}

/**
Estimates how long a request would be queued, from the estimates of the running requests and of those ahead of it.

The estimate is optimistic: a request is refused only if it would miss its deadline even with the plan's full share.
*/
export function estimateWait(queue: SlotQueue, item: QueueItem, monotonic: MonotonicTime): Milliseconds {
	if (canStartNow(queue, item)) {
		return 0;
	}

	const {plan, serviceClass} = item;
	const limit = limitOf(queue, plan);
	const slots = Math.max(1, serviceClass === 'short' ? queue.settings.slots : queue.settings.slots - queue.settings.reservedForShort);
	const remaining = [...queue.running.values()]
		.filter(running => serviceClass === 'short' || running.serviceClass === 'long')
		.map(running => estimateRemaining(running, monotonic));
	const own = sumAhead(planQueueOf(queue, plan), serviceClass);
	const ahead = Math.min(sumAllAhead(queue, serviceClass), own * (sumActiveWeights(queue) / Math.max(1, limit.weight)));
	const firstFree = remaining.length === 0 ? 0 : Math.min(...remaining);
	const backlogMilliseconds = ahead === 0 ? 0 : (remaining.reduce((sum, left) => sum + left, 0) + ahead) / slots;
	return Math.max(firstFree, backlogMilliseconds, own / Math.max(1, Math.min(slots, limit.maximumSlots)));
}

/** Removes the queued requests that can no longer meet their deadline. Returns early before `nextDeadline`. */
export function removeUnreachable(queue: SlotQueue, now: Timestamp): Readonly<{queue: SlotQueue; removed: readonly QueueItem[]}> {
	if (now < queue.nextDeadline) {
		return {queue, removed: []};
	}

	const queued = [...queue.plans.values()].flatMap(({classes}) => [...classes.short.items, ...classes.long.items]);
	const removed = queued.filter(item => latestStartOf(item) <= now);
	const nextDeadline = queued.reduce((earliest, item) => latestStartOf(item) > now ? Math.min(earliest, latestStartOf(item)) : earliest, Infinity);
	return {queue: {...removed.reduce(removeItem, queue), nextDeadline}, removed};
}

export function latestStartOf({latestUsefulAt = Infinity, estimatedMilliseconds}: QueueItem): Timestamp {
	return latestUsefulAt - estimatedMilliseconds;
}

function estimateRemaining({startedAt, estimatedMilliseconds}: RunningItem, monotonic: MonotonicTime): Milliseconds {
	return Math.max(0, estimatedMilliseconds - (monotonic - startedAt));
}

/** Sums the plan's queued work that may start before a new request of the class. */
function sumAhead({classes}: PlanQueue, serviceClass: ServiceClass): Milliseconds {
	return serviceClass === 'short' ? classes.short.queuedMilliseconds : classes.short.queuedMilliseconds + classes.long.queuedMilliseconds;
}

function sumAllAhead({plans}: SlotQueue, serviceClass: ServiceClass): Milliseconds {
	let sum = 0;
	for (const plan of plans.values()) {
		sum += sumAhead(plan, serviceClass);
	}

	return sum;
}

function sumActiveWeights(queue: SlotQueue): number {
	let sum = 0;
	for (const name of queue.plans.keys()) {
		sum += Math.max(1, limitOf(queue, name).weight);
	}

	return Math.max(1, sum);
}
