/** Forecasts as entries report them to each other: of bounded size, and as tuples, which take a third of the bytes of objects. */
import type {MonotonicTime} from '#core';
import type {Resources} from '#jobs';
import {combineRoom, durationOf, noRoom} from './amounts.js';
import {maximumSharedPools, maximumSharedRanks, maximumSharedTeams} from './constants.js';
import {measureBacklog} from './forecast.js';
import type {
	Forecast, PoolForecast, SharedForecast, SharedPool, SharedRoom, SharedWork, TeamForecast, Work,
} from './types.js';

/** Describes a forecast for another entry: the pools and teams with the largest backlog, and the highest ranks. */
export function shareForecast({at, pools}: Forecast, now: MonotonicTime): SharedForecast {
	const largest = pools.toSorted((first, second) => measureBacklog(second) - measureBacklog(first)).slice(0, maximumSharedPools);
	const teams = new Set(largest
		.flatMap(pool => pool.teams.filter(team => hasBacklog(team) || team.guaranteedLeft > 0).map(team => ({team, duration: durationOf(team.backlog, pool.capacity)})))
		.toSorted((first, second) => second.duration - first.duration)
		.slice(0, maximumSharedTeams)
		.map(({team}) => team));
	return {
		ageMilliseconds: Math.max(0, Math.round(now - at)),
		pools: largest.map(pool => encodePool({...pool, ranks: pool.ranks.slice(0, maximumSharedRanks), teams: pool.teams.filter(team => teams.has(team))})),
	};
}

/** Takes over a forecast of another entry. */
export function receiveForecast({ageMilliseconds, pools}: SharedForecast, now: MonotonicTime): Forecast {
	return {at: now - Math.max(0, ageMilliseconds), pools: pools.map(pool => decodePool(pool))};
}

function hasBacklog({backlog}: TeamForecast): boolean {
	return backlog.acceleratorMilliseconds > 0 || backlog.coreMilliseconds > 0;
}

function encodePool({service, workers, teamCount, ...pool}: PoolForecast): SharedPool {
	return {
		service,
		workers,
		teamCount,
		largestWorker: encodeRoom(pool.largestWorker),
		capacity: encodeRoom(pool.capacity),
		usable: encodeRoom(pool.usable),
		free: encodeRoom(pool.free),
		lasting: encodeRoom(pool.lasting),
		backlog: encodeWork(pool.backlog),
		ranks: pool.ranks.map(({rank, sizes, running, narrowest}) => [
			rank, sizes.map(({accelerators, onTime, late}) => [accelerators, encodeWork(onTime), encodeWork(late)]), encodeRoom(running), narrowest === undefined ? null : encodeRoom(narrowest),
		]),
		// A time by which nothing more ends says nothing.
		releases: pool.releases.filter(({room}, index, all) => !isEqualRoom(room, all[index - 1]?.room ?? noRoom)).map(({withinMilliseconds, room}) => [withinMilliseconds, encodeRoom(room)]),
		teams: pool.teams.map(({team, backlog, guaranteedLeft}) => [team, encodeWork(backlog), guaranteedLeft]),
	};
}

function decodePool({service, workers, teamCount, ...pool}: SharedPool): PoolForecast {
	return {
		service,
		workers,
		teamCount,
		largestWorker: decodeRoom(pool.largestWorker),
		capacity: decodeRoom(pool.capacity),
		usable: decodeRoom(pool.usable),
		free: decodeRoom(pool.free),
		lasting: decodeRoom(pool.lasting),
		backlog: decodeWork(pool.backlog),
		ranks: pool.ranks.map(([rank, sizes, running, narrowest]) => ({
			rank, sizes: sizes.map(([accelerators, onTime, late]) => ({accelerators, onTime: decodeWork(onTime), late: decodeWork(late)})), running: decodeRoom(running), ...(narrowest === null ? {} : {narrowest: decodeRoom(narrowest)}),
		})),
		releases: pool.releases.map(([withinMilliseconds, room]) => ({withinMilliseconds, room: decodeRoom(room)})),
		teams: pool.teams.map(([team, backlog, guaranteedLeft]) => ({team, backlog: decodeWork(backlog), guaranteedLeft})),
	};
}

function isEqualRoom(first: Resources, second: Resources): boolean {
	const {processorMillicores, memoryMegabytes, accelerators} = combineRoom(first, second, (left, right) => Math.abs(left - right));
	return processorMillicores + memoryMegabytes + accelerators === 0;
}

/** A whole number that JSON can carry; others become null there, and the receiver would reject the whole exchange. */
function toWhole(amount: number): number {
	return Math.round(Math.min(Number.MAX_SAFE_INTEGER, amount));
}

function encodeWork({acceleratorMilliseconds, coreMilliseconds}: Work): SharedWork {
	return [toWhole(acceleratorMilliseconds), toWhole(coreMilliseconds)];
}

function decodeWork([acceleratorMilliseconds, coreMilliseconds]: SharedWork): Work {
	return {acceleratorMilliseconds, coreMilliseconds};
}

function encodeRoom({processorMillicores, memoryMegabytes, accelerators}: Resources): SharedRoom {
	return [toWhole(processorMillicores), toWhole(memoryMegabytes), toWhole(accelerators)];
}

function decodeRoom([processorMillicores, memoryMegabytes, accelerators]: SharedRoom): Resources {
	return {processorMillicores, memoryMegabytes, accelerators};
}
