import type {
	Milliseconds, MonotonicTime, ServiceClass, Timestamp,
} from '#core';
import {countFreeSlots, isBelowLimit} from './choose-next.js';
import {limitOf, planQueueOf, removeItem} from './queue.js';
import type {
	PlanQueue, QueueItem, RunningItem, SlotQueue,
} from './types.js';

/** Tells whether a request would start at once. Nothing that waits could take its slot, since free slots are never left to waiting work. */
export function canStartNow(queue: SlotQueue, {plan, serviceClass}: QueueItem): boolean {
	return countFreeSlots(queue, serviceClass) > 0 && isBelowLimit(queue, plan, planQueueOf(queue, plan));
}

/**
Estimates how long a request would wait, from the estimates of what runs and waits before it.

The estimate leans to the short side: work is refused for its deadline only if it could not be met under the plan's full share.
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
	const drained = ahead === 0 ? 0 : (remaining.reduce((sum, left) => sum + left, 0) + ahead) / slots;
	return Math.max(firstFree, drained, own / Math.max(1, Math.min(slots, limit.maximumSlots)));
}

/** Finds the waiting requests that can no longer end in time and removes them. Does nothing before the earliest such time. */
export function removeUnreachable(queue: SlotQueue, now: Timestamp): Readonly<{queue: SlotQueue; removed: readonly QueueItem[]}> {
	if (now < queue.nextDeadline) {
		return {queue, removed: []};
	}

	const waiting = [...queue.plans.values()].flatMap(({classes}) => [...classes.short.items, ...classes.long.items]);
	const removed = waiting.filter(item => latestStartOf(item) <= now);
	const nextDeadline = waiting.reduce((earliest, item) => latestStartOf(item) > now ? Math.min(earliest, latestStartOf(item)) : earliest, Infinity);
	return {queue: {...removed.reduce(removeItem, queue), nextDeadline}, removed};
}

export function latestStartOf({latestUsefulAt = Infinity, estimatedMilliseconds}: QueueItem): Timestamp {
	return latestUsefulAt - estimatedMilliseconds;
}

function estimateRemaining({startedAt, estimatedMilliseconds}: RunningItem, monotonic: MonotonicTime): Milliseconds {
	return Math.max(0, estimatedMilliseconds - (monotonic - startedAt));
}

/** Waiting work of a plan that may go before a new request of the class. */
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
