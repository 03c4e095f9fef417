/** Estimates when a job would start and end if it were accepted now. */
import type {Milliseconds} from '#core';
import type {JobStep, Resources} from '#jobs';
import {
	addRoom, addWork, durationOf, fitsIn, longestChain, noRoom, noWork, roomOfTask, roomOfUnit, subtractRoom,
} from './amounts.js';
import {lowestPreemptingRank, optimisticDurationShare, worthlessObjectives} from './constants.js';
import {sizeOf, sumWork} from './forecast.js';
import {rankOfJob} from './teams.js';
import type {
	Forecast, ForecastJob, JobEstimate, PoolForecast, UnknownReason, Work,
} from './types.js';

/** Time from its acceptance in which a job earns its full value. */
export function findObjective({queue: {stretch, targetMilliseconds}, request}: ForecastJob): Milliseconds {
	return (stretch * longestChain(request)) + targetMilliseconds;
}

export function findPool({pools}: Forecast, {queue}: ForecastJob): PoolForecast | undefined {
	return pools.find(({service}) => service === queue.service);
}

/**
Estimates the first start and the end of a job. Addresses a full pool, in which waiting work of the same and higher ranks starts first.

The optimistic estimate counts only work that certainly goes first: not gangs that need more room at once, which narrower work passes while the pool is full, nor what is long, nor what is late while the job itself can still be on time. It is 0 while room for the job is free or could be taken from lower ranks, and nothing that needs as little waits before it. Work that does not end by itself delays nothing in it.

@example
```
estimateJob(forecast, submission);
//=> {kind: 'estimated', optimistic: {start: 0, end: 2000}, usual: {start: 500, end: 5500}, worthwhileIn: 0}
```
*/
export function estimateJob(forecast: Forecast, job: ForecastJob): JobEstimate {
	const pool = findPool(forecast, job);
	const reason = findObstacle(pool, job);
	if (pool === undefined || reason !== undefined) {
		return {kind: 'unknown', reason: reason ?? 'no-workers'};
	}

	const rank = rankOfJob(pool, job);
	const objective = findObjective(job);
	const chain = longestChain(job.request);
	const roots = job.request.steps.filter(({after}) => after.length === 0);
	const size = Math.max(...roots.map(step => sizeOf(roomOfUnit(step))));
	const certain = {onTime: sumAhead(pool, rank, 'on-time', size), all: sumAhead(pool, rank, 'late', size)};
	const expected = {onTime: sumAhead(pool, rank, 'on-time', Infinity), all: sumAhead(pool, rank, 'late', Infinity)};
	const reclaimable = addRoom(pool.free, sumReclaimable(pool, rank));
	const hasRoom = roots.some(step => fitsIn(roomOfUnit(step), reclaimable) && !isRoomTaken(pool, rank, roomOfUnit(step)));
	const hasFreeRoom = roots.some(step => fitsIn(roomOfUnit(step), pool.free));
	const release = findRelease(pool, roots, reclaimable);

	const early = hasRoom ? 0 : optimisticDurationShare * Math.max(release.earliest, durationOf(certain.onTime, pool.capacity));
	// A job that becomes late while it waits goes after those that were late before.
	const late = hasRoom ? 0 : optimisticDurationShare * Math.max(release.earliest, durationOf(certain.all, pool.capacity));
	const optimisticStart = early <= objective ? early : Math.max(objective, late);
	const optimisticDuration = optimisticDurationShare * Math.max(chain, durationOf(sumWork(job), pool.capacity));
	const latestStart = (worthlessObjectives * objective) - optimisticDuration;

	const usualEarly = hasFreeRoom && durationOf(expected.onTime, pool.usable) === 0 ? 0 : release.latest + durationOf(expected.onTime, pool.usable);
	const usualStart = usualEarly <= objective ? usualEarly : Math.max(objective, release.latest + durationOf(expected.all, pool.usable));
	return {
		kind: 'estimated',
		optimistic: {start: optimisticStart, end: optimisticStart + optimisticDuration},
		usual: {start: usualStart, end: usualStart + Math.max(chain, durationOf(sumWork(job), pool.usable))},
		// Waiting work decreases at the usual pace, so that the optimistic estimate decreases by its share of that.
		worthwhileIn: optimisticStart <= latestStart ? 0 : Math.max(0, Math.min(early - objective, late - latestStart) / optimisticDurationShare),
	};
}

/** Why nothing can be said of the job; undefined if it can start once others have ended. */
function findObstacle(pool: PoolForecast | undefined, {request: {steps}}: ForecastJob): UnknownReason | undefined {
	if (pool === undefined || pool.workers === 0) {
		return 'no-workers';
	}

	const {largestWorker, capacity, lasting} = pool;
	if (!steps.every(step => fitsIn(roomOfTask(step), largestWorker) && fitsIn(roomOfUnit(step), capacity))) {
		return 'larger-than-pool';
	}

	const ending = subtractRoom(capacity, lasting);
	return steps.every(step => fitsIn(roomOfUnit(step), ending)) ? undefined : 'beside-lasting-work';
}

/** Waiting work of units up to a size that starts before a job of the rank, which can still be on time or is late itself. */
function sumAhead({ranks}: PoolForecast, rank: number, own: 'on-time' | 'late', largestSize: number): Work {
	return ranks.reduce((total, current) => {
		if (current.rank > rank) {
			return total;
		}

		const sizes = current.sizes.filter(({accelerators}) => accelerators <= largestSize);
		return sizes.reduce((sum, {onTime, late}) => addWork(sum, current.rank < rank || own === 'late' ? addWork(onTime, late) : onTime), total);
	}, noWork);
}

/** Whether work that goes first, and needs no more room, waits for it. Free room is then in pieces that are too small, or reserved. */
function isRoomTaken({ranks}: PoolForecast, rank: number, unit: Resources): boolean {
	return ranks.some(current => current.rank <= rank && current.narrowest !== undefined && fitsIn(current.narrowest, unit));
}

/** Room of runs that a job of the rank may preempt. */
function sumReclaimable({ranks}: PoolForecast, rank: number): Resources {
	return rank > lowestPreemptingRank ? noRoom : ranks.filter(current => current.rank > rank).reduce((total, {running}) => addRoom(total, running), noRoom);
}

/** Times between which the ends of runs leave room for one of the steps. The earliest is 0 if the runs that are known never leave it, which workers that take no work at present explain. */
function findRelease({releases}: PoolForecast, steps: readonly JobStep[], room: Resources): Readonly<{earliest: Milliseconds; latest: Milliseconds}> {
	if (steps.some(step => fitsIn(roomOfUnit(step), room))) {
		return {earliest: 0, latest: 0};
	}

	const index = releases.findIndex(release => steps.some(step => fitsIn(roomOfUnit(step), addRoom(room, release.room))));
	return index === -1
		? {earliest: 0, latest: releases.at(-1)?.withinMilliseconds ?? 0}
		: {earliest: releases[index - 1]?.withinMilliseconds ?? 0, latest: releases[index]?.withinMilliseconds ?? 0};
}
