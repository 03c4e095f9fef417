/** Builds a forecast from the load of a scheduler, and adds to it what was admitted since. */
import {groupBy, type MonotonicTime} from '#core';
import type {Resources} from '#jobs';
import {
	addRoom, addWork, combineRoom, durationOf, fitsIn, noRoom, noWork, roomOfUnit, subtractRoom, workOf,
} from './amounts.js';
import {releaseMilliseconds} from './constants.js';
import {findTeam, rankOfJob} from './teams.js';
import type {
	Forecast, ForecastJob, LoadSnapshot, PoolForecast, RankForecast, Release, RunningWork, SizeForecast, TeamForecast, TeamGuarantee, WaitingWork, Work, WorkerRoom,
} from './types.js';

/**
Sums up the load by pool, rank and team. Addresses load that exceeds the capacity for a while, where admission by memory accepts jobs that cannot start in time.

Work that no present worker could hold is left out, since it takes no room from others.
*/
export function createForecast({waiting, running, workers, teams}: LoadSnapshot, now: MonotonicTime): Forecast {
	const waitingByService = groupBy(waiting, ({service}) => service);
	const runningByService = groupBy(running, ({service}) => service);
	return {
		at: now,
		pools: [...groupBy(workers, ({service}) => service)].map(([service, members]) =>
			createPoolForecast(service, {
				members, waiting: waitingByService.get(service) ?? [], running: runningByService.get(service) ?? [], teams,
			})),
	};
}

type PoolLoad = Readonly<{members: readonly WorkerRoom[]; waiting: readonly WaitingWork[]; running: readonly RunningWork[]; teams: readonly TeamGuarantee[]}>;

function createPoolForecast(service: PoolForecast['service'], {members, waiting, running, teams}: PoolLoad): PoolForecast {
	const staying = members.filter(({isStaying}) => isStaying);
	const usable = members.filter(({isUsable}) => isUsable);
	const capacity = sumRoom(staying.map(worker => worker.capacity));
	const largestWorker = staying.reduce((largest, worker) => combineRoom(largest, worker.capacity, Math.max), noRoom);
	const ending = running.filter(({remaining}) => remaining < Infinity);
	const lasting = sumRoom(running.filter(({remaining}) => remaining === Infinity).map(({room}) => room));
	const startable = waiting.filter(({task, unit}) => fitsIn(task, largestWorker) && fitsIn(unit, capacity));
	const backlogs = sumBacklogs(startable);
	return {
		service,
		workers: staying.length,
		largestWorker,
		capacity,
		usable: subtractRoom(sumRoom(usable.map(worker => worker.capacity)), lasting),
		free: sumRoom(usable.map(({free}) => subtractRoom(free, noRoom))),
		lasting,
		ranks: createRanks(startable, ending),
		releases: createReleases(ending),
		backlog: [...backlogs.values()].reduce<Work>(addWork, noWork),
		// Callers without a team count as one.
		teamCount: Math.max(1, teams.length + (backlogs.has('') ? 1 : 0)),
		teams: createTeams(backlogs, teams),
	};
}

function sumRoom(rooms: readonly Resources[]): Resources {
	return rooms.reduce(addRoom, noRoom);
}

function sumBacklogs(waiting: readonly WaitingWork[]): ReadonlyMap<string, Work> {
	const backlogs = new Map<string, Work>();
	for (const {team, work} of waiting) {
		backlogs.set(team, addWork(backlogs.get(team) ?? noWork, work));
	}

	return backlogs;
}

function createTeams(backlogs: ReadonlyMap<string, Work>, teams: readonly TeamGuarantee[]): readonly TeamForecast[] {
	const guarantees = new Map(teams.map(({team, accelerators, used}) => [team, Math.max(0, accelerators - used)]));
	return [...new Set([...backlogs.keys(), ...guarantees.keys()])].map(team => ({team, backlog: backlogs.get(team) ?? noWork, guaranteedLeft: guarantees.get(team) ?? 0}));
}

function createRanks(waiting: readonly WaitingWork[], running: readonly RunningWork[]): readonly RankForecast[] {
	const ranks = new Map<number, RankForecast>();
	const update = (rank: number, change: (forecast: RankForecast) => RankForecast) => {
		ranks.set(rank, change(ranks.get(rank) ?? emptyRank(rank)));
	};

	for (const {rank, urgency, work, unit, isBlocked} of waiting) {
		update(rank, forecast => withNarrowest(addWaiting(forecast, {urgency, work, unit}), isBlocked ? unit : undefined));
	}

	for (const {rank, room} of running) {
		update(rank, forecast => ({...forecast, running: addRoom(forecast.running, room)}));
	}

	return [...ranks.values()].toSorted((first, second) => first.rank - second.rank);
}

function emptyRank(rank: number): RankForecast {
	return {rank, sizes: [], running: noRoom};
}

function addWaiting(forecast: RankForecast, {urgency, work, unit}: Pick<WaitingWork, 'urgency' | 'work' | 'unit'>): RankForecast {
	const accelerators = sizeOf(unit);
	const size = forecast.sizes.find(current => current.accelerators === accelerators) ?? {accelerators, onTime: noWork, late: noWork};
	const replace = (next: SizeForecast): RankForecast => ({
		...forecast, sizes: [...forecast.sizes.filter(current => current !== size), next].toSorted((first, second) => first.accelerators - second.accelerators),
	});
	switch (urgency) {
		case 'on-time': {
			return replace({...size, onTime: addWork(size.onTime, work)});
		}

		case 'late': {
			return replace({...size, late: addWork(size.late, work)});
		}

		// Long work goes after all other work of its rank.
		case 'long': {
			return forecast;
		}
	}
}

/** Upper bound of the size of a unit. */
export function sizeOf({accelerators}: Resources): number {
	return accelerators === 0 ? 0 : 2 ** Math.ceil(Math.log2(accelerators));
}

function withNarrowest(forecast: RankForecast, unit: Resources | undefined): RankForecast {
	const {narrowest} = forecast;
	return unit === undefined || (narrowest !== undefined && compareRoom(narrowest, unit) <= 0) ? forecast : {...forecast, narrowest: unit};
}

function compareRoom(first: Resources, second: Resources): number {
	return first.accelerators - second.accelerators || first.processorMillicores - second.processorMillicores;
}

function createReleases(running: readonly RunningWork[]): readonly Release[] {
	const rooms = releaseMilliseconds.map(() => noRoom);
	for (const {remaining, room} of running) {
		const found = releaseMilliseconds.findIndex(within => remaining <= within);
		const index = found === -1 ? releaseMilliseconds.length - 1 : found;
		rooms[index] = addRoom(rooms[index] ?? noRoom, room);
	}

	let total = noRoom;
	return releaseMilliseconds.map((withinMilliseconds, index) => {
		total = addRoom(total, rooms[index] ?? noRoom);
		return {withinMilliseconds, room: total};
	});
}

/** Adds jobs that were admitted after the forecast was made. They do not reduce what is left of a guarantee, since jobs that ended meanwhile may have increased it. */
export function addAdmittedJobs(forecast: Forecast, jobs: readonly ForecastJob[]): Forecast {
	return jobs.reduce((current, job) => ({...current, pools: current.pools.map(pool => pool.service === job.queue.service ? addJob(pool, job) : pool)}), forecast);
}

function addJob(pool: PoolForecast, job: ForecastJob): PoolForecast {
	const steps = job.request.schedule === undefined ? job.request.steps.filter(({isLongRunning}) => !isLongRunning) : [];
	const rank = rankOfJob(pool, job);
	const current = pool.ranks.find(forecast => forecast.rank === rank) ?? emptyRank(rank);
	const team = findTeam(pool, job);
	const roots = steps.filter(({after}) => after.length === 0);
	const waiting = steps.map(step => ({urgency: 'on-time' as const, work: workOf(step, step.count, step.estimatedMilliseconds), unit: roomOfUnit(step)}));
	const work = sumWork(job);
	return {
		...pool,
		free: roots.reduce((free, step) => subtractRoom(free, roomOfUnit(step)), pool.free),
		ranks: [...pool.ranks.filter(forecast => forecast !== current), waiting.reduce(addWaiting, current)].toSorted((first, second) => first.rank - second.rank),
		backlog: addWork(pool.backlog, work),
		teams: [...pool.teams.filter(forecast => forecast.team !== team.team), {...team, backlog: addWork(team.backlog, work)}],
	};
}

/** Work of a job's steps that end by themselves; occurrences of a schedule come later. */
export function sumWork({request: {steps, schedule}}: ForecastJob): Work {
	return schedule === undefined
		? steps.filter(({isLongRunning}) => !isLongRunning).reduce((total, step) => addWork(total, workOf(step, step.count, step.estimatedMilliseconds)), noWork)
		: noWork;
}

/** Time that all workers would take for the waiting work of a pool. */
export function measureBacklog({backlog, capacity}: PoolForecast): number {
	return durationOf(backlog, capacity);
}
