/** Ranks of new jobs, guarantees and equal shares. */
import {durationOf, noWork} from './amounts.js';
import type {ForecastJob, PoolForecast, TeamForecast} from './types.js';

export function findTeam({teams}: PoolForecast, {tenant}: ForecastJob): TeamForecast {
	const name: string = tenant ?? '';
	return teams.find(({team}) => team === name) ?? {team: name, backlog: noWork, guaranteedLeft: 0};
}

/** Whether what is left of the team's guarantee holds all tasks of the job. */
export function isWithinGuarantee(pool: PoolForecast, job: ForecastJob): boolean {
	const accelerators = job.request.steps.reduce((total, step) => total + (step.count * step.accelerators), 0);
	return job.queue.priority === 0 && job.tenant !== undefined && accelerators <= findTeam(pool, job).guaranteedLeft;
}

/** The rank that the scheduler gives a new job; 0 is work within a guarantee. */
export function rankOfJob(pool: PoolForecast, job: ForecastJob): number {
	return job.queue.priority === 0 && isWithinGuarantee(pool, job) ? 0 : job.queue.priority + 1;
}

/** Whether the team holds more of the waiting work than it would if all teams held the same. */
export function isOverEqualShare(pool: PoolForecast, job: ForecastJob): boolean {
	return durationOf(findTeam(pool, job).backlog, pool.capacity) > durationOf(pool.backlog, pool.capacity) / pool.teamCount;
}
