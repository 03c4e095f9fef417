/** Claims on the room that preempted runs leave. Without them, each pass would choose victims anew, and lower ranks would take the room that becomes free first. */
import type {MonotonicTime} from '#core';
import {claimMilliseconds} from './constants.js';
import {allocate, type Pool} from './pool.js';
import type {TaskCounts} from './place.js';
import {resourcesOf} from './state.js';
import type {Claim, SchedulerState} from './types.js';
import type {SchedulingUnit} from './units.js';

export function createClaim({occurrence, stepIndex}: SchedulingUnit, taskCounts: TaskCounts, monotonic: MonotonicTime): Claim {
	return {
		occurrence, stepIndex, taskCounts, until: monotonic + claimMilliseconds,
	};
}

/** Finds the unit's claim; it no longer counts after its time, or if a claimed worker cannot be used. */
export function findClaim({jobs}: SchedulerState, {job, occurrence, stepIndex}: SchedulingUnit, pool: Pool, monotonic: MonotonicTime): Claim | undefined {
	const claim = jobs.get(job.submission.job)?.claim;
	return claim?.occurrence === occurrence && claim.stepIndex === stepIndex && monotonic < claim.until
		&& [...claim.taskCounts.keys()].every(agent => pool.get(agent)?.isUsable === true)
		? claim
		: undefined;
}

/** Allocates the claimed room for the rest of the pass, for at most `count` tasks. */
export function allocateClaim({step}: SchedulingUnit, count: number, taskCounts: TaskCounts, pool: Pool): Pool {
	let next = pool;
	let remaining = count;
	for (const [agent, claimedCount] of taskCounts) {
		for (let index = 0; index < Math.min(claimedCount, count) && remaining > 0; index++) {
			next = allocate(next, agent, resourcesOf(step));
			remaining--;
		}
	}

	return next;
}
