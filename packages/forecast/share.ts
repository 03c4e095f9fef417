/** Forecasts as entries report them to each other, of bounded size. */
import type {MonotonicTime} from '#core';
import type {Resources} from '#jobs';
import {combineRoom, durationOf, noRoom} from './amounts.js';
import {maximumSharedPools, maximumSharedRanks, maximumSharedTeams} from './constants.js';
import {measureBacklog} from './forecast.js';
import type {
	Forecast, PoolForecast, SharedForecast, TeamForecast, Work,
} from './types.js';

/** Describes a forecast for another entry: the pools and teams with the largest backlog, and the highest ranks. */
export function shareForecast({at, pools}: Forecast, now: MonotonicTime): SharedForecast {
	const largest = pools.toSorted((first, second) => measureBacklog(second) - measureBacklog(first)).slice(0, maximumSharedPools);
	const teamsOfPool = (pool: PoolForecast) => pool.teams.filter(team => hasBacklog(team) || team.guaranteedLeft > 0);
	const shared = new Set(largest
		.flatMap(pool => teamsOfPool(pool).map(team => ({team, duration: durationOf(team.backlog, pool.capacity)})))
		.toSorted((first, second) => second.duration - first.duration)
		.slice(0, maximumSharedTeams)
		.map(({team}) => team));
	return {
		ageMilliseconds: Math.max(0, Math.round(now - at)),
		pools: largest.map(pool => roundPool({...pool, ranks: pool.ranks.slice(0, maximumSharedRanks), teams: pool.teams.filter(team => shared.has(team))})),
	};
}

/** Takes over a forecast of another entry. */
export function receiveForecast({ageMilliseconds, pools}: SharedForecast, now: MonotonicTime): Forecast {
	return {at: now - Math.max(0, ageMilliseconds), pools};
}

function hasBacklog({backlog}: TeamForecast): boolean {
	return backlog.acceleratorMilliseconds > 0 || backlog.coreMilliseconds > 0;
}

/** Rounds work to whole numbers, which take a third of the bytes. */
function roundPool(pool: PoolForecast): PoolForecast {
	return {
		...pool,
		free: roundRoom(pool.free),
		backlog: roundWork(pool.backlog),
		ranks: pool.ranks.map(rank => ({
			...rank, onTime: roundWork(rank.onTime), late: roundWork(rank.late), running: roundRoom(rank.running),
		})),
		releases: pool.releases.map(({withinMilliseconds, room}) => ({withinMilliseconds, room: roundRoom(room)})),
		teams: pool.teams.map(({team, backlog, guaranteedLeft}) => ({team, backlog: roundWork(backlog), guaranteedLeft})),
	};
}

function roundWork({acceleratorMilliseconds, coreMilliseconds}: Work): Work {
	return {acceleratorMilliseconds: Math.round(acceleratorMilliseconds), coreMilliseconds: Math.round(coreMilliseconds)};
}

function roundRoom(room: Resources): Resources {
	return combineRoom(room, noRoom, Math.round);
}
