/** Faults of a scenario: tasks that always fail, runs that fail by chance, and workers that come and go. */
import type {MonotonicTime, RandomSource} from '#core';
import {parseTaskName, type TaskName} from '#jobs';
import type {ArrivingJob} from './scenarios.js';

export type Faults = Readonly<{
	/** Share of the jobs of which one task fails in each attempt. */
	hopelessShare: number;
	/** Share of the runs that fail once, by chance. */
	failingShare: number;
	/** Share of the workers that come and go. */
	leavingShare: number;
	/** Average time that such a worker stays. */
	stayMilliseconds: number;
	/** How long before it leaves such a worker announces that. */
	noticeMilliseconds: number;
	/** How long such a worker stays away. */
	awayMilliseconds: number;
}>;

export const noFaults: Faults = {
	hopelessShare: 0, failingShare: 0, leavingShare: 0, stayMilliseconds: Infinity, noticeMilliseconds: 0, awayMilliseconds: 0,
};

/** Share of a task's work at which it fails. */
const failurePercent = 60;

/** Chooses the percentage at which each run fails, `Infinity` if it does not. */
export function createFailures({hopelessShare, failingShare}: Faults, arrivals: readonly ArrivingJob[], random: RandomSource): (task: TaskName) => number {
	const hopeless = new Set(arrivals.filter(() => random() < hopelessShare).map(({submission: {job}}) => job));
	return task => {
		const {job, index} = parseTaskName(task);
		const isFailing = random() < failingShare;
		return (hopeless.has(job) && index === 0) || isFailing ? failurePercent : Infinity;
	};
}

/** When each worker leaves next; `Infinity` for those that stay. */
export function createDepartures({leavingShare, stayMilliseconds, awayMilliseconds}: Faults, workers: number, random: RandomSource): Readonly<{
	leavesAt(index: number): MonotonicTime;
	returnsAt(index: number): MonotonicTime;
	/** Chooses the times of the next departure and return. */
	renew(index: number, time: MonotonicTime): void;
}> {
	const chooseStay = () => stayMilliseconds * (0.5 + random());
	const leaving = Array.from({length: workers}, () => random() < leavingShare ? chooseStay() : Infinity);
	const returning = Array.from({length: workers}, () => -Infinity);
	return {
		leavesAt: index => leaving[index] ?? Infinity,
		returnsAt: index => returning[index] ?? -Infinity,
		renew(index, time) {
			returning[index] = time + awayMilliseconds;
			leaving[index] = time + awayMilliseconds + chooseStay();
		},
	};
}
