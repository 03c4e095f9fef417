import type {PlanName, ServiceClass} from '#core';
import {limitOf} from './queue.js';
import type {PlanQueue, QueueItem, SlotQueue} from './types.js';

/** Slots that a class may take now: short work any free one, long work only outside the reserve. */
export function countFreeSlots({settings, running, longRunning}: SlotQueue, serviceClass: ServiceClass): number {
	const free = settings.slots - running.size;
	return serviceClass === 'short' ? free : Math.min(free, settings.slots - settings.reservedForShort - longRunning);
}

/**
Chooses the request that starts next, or none if no waiting request may take a free slot.

Between plans the least virtual time goes first; within a plan the class that has received less service. Looks at each plan once.
*/
export function chooseNext(queue: SlotQueue): QueueItem | undefined {
	const isLongAllowed = countFreeSlots(queue, 'long') > 0;
	if (queue.queued === 0 || countFreeSlots(queue, 'short') <= 0) {
		return undefined;
	}

	let chosen: QueueItem | undefined;
	let leastVirtualTime = Infinity;
	for (const [name, plan] of queue.plans) {
		const item = plan.virtualTime < leastVirtualTime && isBelowLimit(queue, name, plan) ? chooseWithin(plan, isLongAllowed) : undefined;
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

function chooseWithin({classes}: PlanQueue, isLongAllowed: boolean): QueueItem | undefined {
	const short = classes.short.items[0];
	const long = isLongAllowed ? classes.long.items[0] : undefined;
	if (short === undefined || long === undefined) {
		return short ?? long;
	}

	return classes.short.servedMilliseconds <= classes.long.servedMilliseconds ? short : long;
}
