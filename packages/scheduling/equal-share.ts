/** Order of teams within a rank while the pool is full. */
import type {JobKey, Resources} from '#jobs';
import type {Pool} from './pool.js';
import {resourcesOf} from './state.js';
import type {SchedulingUnit} from './units.js';

/** Cores that count as much as an accelerator, according to the platform's prices. */
const coresPerAccelerator = 8;
/** A team is far over its equal share if it holds more than this share of all work. In the load model, 0.35 earned less in total than 0.5 at twice the usual rate. */
const farOverShare = 0.5;
/** It also holds at least this multiple of its equal share, so that one of two teams may hold more than the other. */
const farOverFactor = 1.5;
/** A surge consists of at least this many waiting jobs. With one, the order also changed in the load model without a surge, and earned 0.002 less. */
const minimumSurgeJobs = 4;

/** Names of the teams that hold more running and waiting work than all others together, and several waiting jobs. */
export function listTeamsFarOverShare(units: readonly SchedulingUnit[], pool: Pool): ReadonlySet<string> {
	const held = new Map<string, number>();
	const waitingJobs = new Map<string, Set<JobKey>>();
	const add = (team: string, amount: number) => held.set(team, (held.get(team) ?? 0) + amount);
	for (const {job: {submission: {tenant = '', job}}, step, tasks} of units) {
		add(tenant, tasks.length * weigh(resourcesOf(step)));
		waitingJobs.set(tenant, (waitingJobs.get(tenant) ?? new Set()).add(job));
	}

	for (const {runs} of pool.values()) {
		for (const {job, need} of runs) {
			add(job.submission.tenant ?? '', weigh(need));
		}
	}

	const total = [...held.values()].reduce((sum, amount) => sum + amount, 0);
	const limit = Math.max(farOverShare, farOverFactor / held.size) * total;
	return new Set([...held].filter(([team, amount]) => amount > limit && (waitingJobs.get(team)?.size ?? 0) >= minimumSurgeJobs).map(([team]) => team));
}

function weigh({accelerators, processorMillicores}: Resources): number {
	return (accelerators * coresPerAccelerator) + (processorMillicores / 1000);
}

/**
Moves the units of teams far over their equal share behind the others of their rank that are as late. Work within a guarantee keeps its place.

Addresses a team's surge in a full pool, which would otherwise push the usual load of other teams back, since it arrived earlier.
*/
export function orderByShare(units: readonly SchedulingUnit[], pool: Pool): readonly SchedulingUnit[] {
	const teams = listTeamsFarOverShare(units, pool);
	const isOver = ({rank, job}: SchedulingUnit) => rank > 0 && teams.has(job.submission.tenant ?? '');
	return teams.size === 0
		? units
		: units.toSorted((first, second) => first.rank - second.rank || Number(first.isLate) - Number(second.isLate) || Number(isOver(first)) - Number(isOver(second)));
}
