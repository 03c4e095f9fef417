import type {JobKey, TenantName} from '#jobs';
import {listOpenJobs, resolveQueue} from './state.js';
import type {SchedulerJob, SchedulerState} from './types.js';

/**
Order of precedence of a job's tasks. The highest rank is 0; a larger number is a lower rank, whose work may be preempted for higher ranks.

0 is work of priority 0 within its tenant's guarantee, 1 is other work of priority 0, and n + 1 is work of priority n.
*/
export type Rank = number;

/** Ranks the open jobs. A tenant's guarantee goes to its oldest jobs of priority 0 first. */
export function rankJobs(state: SchedulerState): ReadonlyMap<JobKey, Rank> {
	const used = new Map<TenantName, number>();
	const ranks = new Map<JobKey, Rank>();
	for (const job of listOpenJobs(state)) {
		const {job: key, tenant} = job.submission;
		const {priority} = resolveQueue(state, job);
		if (priority > 0) {
			ranks.set(key, priority + 1);
			continue;
		}

		const guaranteed = state.configuration?.tenants.find(({name}) => name === tenant)?.guaranteedAccelerators ?? 0;
		const total = (tenant === undefined ? 0 : used.get(tenant) ?? 0) + countAccelerators(job);
		if (tenant !== undefined && total <= guaranteed) {
			used.set(tenant, total);
			ranks.set(key, 0);
		} else {
			ranks.set(key, 1);
		}
	}

	return ranks;
}

/** Number of accelerators that all tasks of one occurrence need together. */
export function countAccelerators({submission: {request: {steps}}}: SchedulerJob): number {
	return steps.reduce((total, {count, accelerators}) => total + (count * accelerators), 0);
}
