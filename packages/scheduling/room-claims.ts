/** Claims on room that a step is about to use. Without them, each pass would choose workers and victims anew, and lower ranks would take the room that becomes free first. */
import type {MonotonicTime} from '#core';
import type {JobKey, Resources} from '#jobs';
import {
	add, countFitting, subtract, type Pool,
} from './pool.js';
import {
	assign, countPlaced, type Placement, type TaskCounts,
} from './place.js';
import type {Rank} from './rank.js';
import {resourcesOf} from './state.js';
import type {RoomClaim, SchedulerState} from './types.js';
import type {SchedulingUnit} from './units.js';

export function createRoomClaim({occurrence, stepIndex}: SchedulingUnit, taskCounts: TaskCounts, until: MonotonicTime): RoomClaim {
	return {
		occurrence, stepIndex, taskCounts, until,
	};
}

export type HeldRoomClaim = Readonly<{job: JobKey; rank: Rank; need: Resources; claim: RoomClaim}> & Pick<SchedulingUnit, 'kindToKeepApart'>;

/** Lists the claims that still count: not after their time, and not if a claimed worker cannot be used. */
export function listHeldClaims({jobs}: SchedulerState, units: readonly SchedulingUnit[], pool: Pool, monotonic: MonotonicTime): readonly HeldRoomClaim[] {
	// A held-back unit has the step of another, which holds the claim.
	return units.filter(({isHeldBack}) => !isHeldBack).flatMap(({job, occurrence, stepIndex, step, rank, kindToKeepApart}) => {
		const claim = jobs.get(job.submission.job)?.claim;
		return claim?.occurrence === occurrence && claim.stepIndex === stepIndex && monotonic < claim.until
			&& [...claim.taskCounts.keys()].every(agent => pool.get(agent)?.isUsable === true)
			? [{
				job: job.submission.job, rank, need: resourcesOf(step), claim, kindToKeepApart,
			}]
			: [];
	});
}

/** Allocates claimed room in the pool. */
export function holdClaims(pool: Pool, claims: readonly HeldRoomClaim[]): Pool {
	return claims.reduce((next, {need, claim}) => changeRoom(next, claim.taskCounts, free => subtract(free, need)), pool);
}

/** Returns claimed room to the pool. */
export function releaseClaims(pool: Pool, claims: readonly HeldRoomClaim[]): Pool {
	return claims.reduce((next, {need, claim}) => changeRoom(next, claim.taskCounts, free => add(free, need)), pool);
}

function changeRoom(pool: Pool, taskCounts: TaskCounts, change: (free: Resources) => Resources): Pool {
	let next = pool;
	for (const [agent, count] of taskCounts) {
		for (let index = 0; index < count; index++) {
			const worker = next.get(agent);
			next = worker === undefined ? next : next.set(agent, {...worker, free: change(worker.free)});
		}
	}

	return next;
}

/** Places all waiting tasks of the unit on the claimed workers, if they fit there. */
export function placeOnClaim({tasks, step}: SchedulingUnit, {taskCounts}: RoomClaim, pool: Pool): readonly Placement[] {
	const need = resourcesOf(step);
	const isFree = [...taskCounts].every(([agent, count]) => {
		const worker = pool.get(agent);
		return worker !== undefined && countFitting(worker.free, need, count) === count;
	});
	return isFree && countPlaced(taskCounts) === tasks.length ? assign(tasks, taskCounts) : [];
}
