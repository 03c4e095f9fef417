import type {JobId, JobWork, PlanName} from '#core';

export const planOf = (name: string) => name as PlanName;
export const jobIdOf = (number: number) => `00000000-0000-7000-8000-${String(number).padStart(12, '0')}` as JobId;

/** A gang of equal members with four accelerators each, anywhere in the zone. */
export const gangOf = (members: number) => ({members, acceleratorsPerMember: 4, adjacency: 'zone'} as const);

/** Describes a job; `milliseconds` says how long its tasks run. */
export function createWork(number: number, overrides: Partial<Omit<JobWork, 'payload'>> & Readonly<{payload?: unknown}> = {}): JobWork {
	return {
		jobId: jobIdOf(number),
		plan: planOf('rosters'),
		kind: 'cut',
		idempotent: true,
		gang: gangOf(2),
		preemptible: false,
		payload: {milliseconds: 1000},
		...overrides,
	};
}
