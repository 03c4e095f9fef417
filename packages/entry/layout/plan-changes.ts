import type {Configuration} from '#configuration';
import type {PlanName} from '#core';
import type {Slice} from '#protocol';

type PlanLimit = Slice['plans'][number];

/** The revisions at which the limits of each plan last changed, since this entry started to watch the configuration. */
export type PlanChanges = Readonly<{
	/** All changes after this revision are known. */
	since: number;
	revision: number;
	limits: ReadonlyMap<PlanName, PlanLimit>;
	/** Revision of the last change of each plan, including removed plans. */
	changedAt: ReadonlyMap<PlanName, number>;
}>;

export const initialPlanChanges: PlanChanges = {
	since: 0, revision: 0, limits: new Map(), changedAt: new Map(),
};

/** Lists the limits of every plan, as agents enforce them. */
export function listPlanLimits({plans, allowances}: Configuration): readonly PlanLimit[] {
	const allowanceOf = new Map(allowances.map(allowance => [allowance.plan, allowance]));
	return plans.map(({name, weight}) => {
		const {maximumSlots = 0, maximumQueued = 0} = allowanceOf.get(name) ?? {};
		return {
			plan: name, weight, maximumSlots, maximumQueued,
		};
	});
}

/** Records the changes of a newer configuration. Changes of a skipped revision are recorded under the next one that is observed. */
export function trackPlanChanges(changes: PlanChanges, configuration: Configuration): PlanChanges {
	const {revision} = configuration;
	if (revision <= changes.revision) {
		return changes;
	}

	const limits = new Map(listPlanLimits(configuration).map(limit => [limit.plan, limit]));
	if (changes.revision === 0) {
		return {
			since: revision, revision, limits, changedAt: new Map(),
		};
	}

	const names = new Set([...limits.keys(), ...changes.limits.keys()]);
	const changed = [...names].filter(name => !isSameLimit(limits.get(name), changes.limits.get(name)));
	return {
		...changes, revision, limits, changedAt: new Map([...changes.changedAt, ...changed.map(name => [name, revision] as const)]),
	};
}

function isSameLimit(one: PlanLimit | undefined, other: PlanLimit | undefined): boolean {
	return one?.weight === other?.weight && one?.maximumSlots === other?.maximumSlots && one?.maximumQueued === other?.maximumQueued;
}

/** Omits from a slice the plans that have not changed since the revision that the agent reported. */
export function omitUnchangedPlans(slice: Slice, {since, revision, changedAt, limits}: PlanChanges, reportedRevision: number): Slice {
	if (revision !== slice.configurationRevision || reportedRevision < since) {
		return slice;
	}

	const isChanged = (plan: PlanName) => (changedAt.get(plan) ?? 0) > reportedRevision;
	return {
		...slice,
		basis: reportedRevision,
		plans: slice.plans.filter(({plan}) => isChanged(plan)),
		removedPlans: [...changedAt.keys()].filter(plan => isChanged(plan) && !limits.has(plan)),
	};
}
