import type {PlanName, ServiceClass} from '#core';
import {limitOf} from './queue.js';
import type {PlanQueue, QueueItem, SlotQueue} from './types.js';

/** Counts the free slots that a class may use: short work any of them, long work only those that are not reserved for short work. */
export function countFreeSlots({settings, running, longRunning}: SlotQueue, serviceClass: ServiceClass): number {
	const free = settings.slots - running.size;
	return serviceClass === 'short' ? free : Math.min(free, settings.slots - settings.reservedForShort - longRunning);
}

/**
Chooses the request that starts next; undefined if no queued request may use a free slot.

The plan with the least virtual time goes first, and within a plan the class that has received less service. Takes linear time in the number of plans.
*/
export function chooseNext(queue: SlotQueue): QueueItem | undefined {
	const isLongAllowed = countFreeSlots(queue, 'long') > 0;
	if (queue.queued === 0 || countFreeSlots(queue, 'short') <= 0) {
		return undefined;
	}

	let chosen: QueueItem | undefined;
	let leastVirtualTime = Infinity;
	for (const [name, plan] of queue.plans) {
		const item = plan.virtualTime < leastVirtualTime && isBelowLimit(queue, name, plan) ? chooseWithinPlan(plan, isLongAllowed) : undefined;
		if (item !== undefined) {
			chosen = item;
			leastVirtualTime = plan.virtualTime;
		}
	}

	return chosen;
}

export function isBelowLimit(queue: SlotQueue, name: PlanName, plan: PlanQueue): boolean {
	return plan.running < limitOf(queue, name).maximumSlots;
}

function chooseWithinPlan({classes}: PlanQueue, isLongAllowed: boolean): QueueItem | undefined {
	const short = classes.short.items[0];
	const long = isLongAllowed ? classes.long.items[0] : undefined;
	if (short === undefined || long === undefined) {
		return short ?? long;
	}

	return classes.short.servedMilliseconds <= classes.long.servedMilliseconds ? short : long;
}
