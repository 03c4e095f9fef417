/** Arithmetic of work and room. */
import type {Milliseconds} from '#core';
import type {JobRequest, JobStep, Resources} from '#jobs';
import type {Work} from './types.js';

export const noWork: Work = {acceleratorMilliseconds: 0, coreMilliseconds: 0};
export const noRoom: Resources = {processorMillicores: 0, memoryMegabytes: 0, accelerators: 0};

export function addWork(first: Work, second: Work): Work {
	return {acceleratorMilliseconds: first.acceleratorMilliseconds + second.acceleratorMilliseconds, coreMilliseconds: first.coreMilliseconds + second.coreMilliseconds};
}

/** Combines two rooms by resource. */
export function combineRoom(first: Resources, second: Resources, combine: (first: number, second: number) => number): Resources {
	return {
		processorMillicores: combine(first.processorMillicores, second.processorMillicores),
		memoryMegabytes: combine(first.memoryMegabytes, second.memoryMegabytes),
		accelerators: combine(first.accelerators, second.accelerators),
	};
}

export function addRoom(first: Resources, second: Resources): Resources {
	return combineRoom(first, second, (left, right) => left + right);
}

/** Room without another one, at least 0. */
export function subtractRoom(room: Resources, taken: Resources): Resources {
	return combineRoom(room, taken, (left, right) => Math.max(0, left - right));
}

export function fitsIn(need: Resources, room: Resources): boolean {
	return need.processorMillicores <= room.processorMillicores && need.memoryMegabytes <= room.memoryMegabytes && need.accelerators <= room.accelerators;
}

/** Room of one task. Filling tasks use only processor time that others leave unused. */
export function roomOfTask({processorMillicores, memoryMegabytes, accelerators, isFilling}: JobStep): Resources {
	return {processorMillicores: isFilling ? 0 : processorMillicores, memoryMegabytes, accelerators};
}

/** Room that has to be free at the same time for a step to start. */
export function roomOfUnit(step: JobStep): Resources {
	const task = roomOfTask(step);
	const count = step.isGang ? step.count : 1;
	return {processorMillicores: task.processorMillicores * count, memoryMegabytes: task.memoryMegabytes * count, accelerators: task.accelerators * count};
}

/** Longer estimates count as this one: 30 days. A caller may declare any number, also one that JSON reads as infinite. */
const maximumDurationMilliseconds = 2_592_000_000;

/** Work of a number of a step's tasks. */
export function workOf(step: JobStep, count: number, duration: Milliseconds): Work {
	const {accelerators, processorMillicores} = roomOfTask(step);
	const time = Math.min(maximumDurationMilliseconds, Math.max(0, duration)) * count;
	return {acceleratorMilliseconds: accelerators * time, coreMilliseconds: processorMillicores * time / 1000};
}

/** Time that all of a pool's room takes for the work. */
export function durationOf({acceleratorMilliseconds, coreMilliseconds}: Work, {accelerators, processorMillicores}: Resources): Milliseconds {
	const divide = (amount: number, by: number) => amount <= 0 ? 0 : amount / Math.max(0, by);
	return Math.max(divide(acceleratorMilliseconds, accelerators), divide(coreMilliseconds, processorMillicores / 1000));
}

/** Duration of the longest chain of steps by the caller's estimates. */
export function longestChain({steps}: Pick<JobRequest, 'steps'>): Milliseconds {
	const ends: number[] = [];
	for (const {after, estimatedMilliseconds} of steps) {
		ends.push(Math.max(0, estimatedMilliseconds) + Math.max(0, ...after.map(index => ends[index] ?? 0)));
	}

	return Math.max(0, ...ends);
}
