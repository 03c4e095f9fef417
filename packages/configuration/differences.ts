import {assertNever} from '#core';
import type {
	Allowance, Guarantee, Lists, Plan,
} from './types.js';
import {shapeOf} from './validate-lists.js';

/** One difference between two revisions of the lists. */
export type Difference =
	| Readonly<{kind: 'plan-added'; plan: string}>
	| Readonly<{kind: 'plan-removed'; plan: string}>
	| Readonly<{kind: 'allowance-added'; plan: string}>
	| Readonly<{kind: 'allowance-removed'; plan: string}>
	| Readonly<{kind: 'field-changed'; list: 'plans' | 'allowances'; plan: string; field: string; before: unknown; after: unknown}>
	/** A count of 0 means that the shape is not guaranteed. */
	| Readonly<{kind: 'guarantee-changed'; plan: string; shape: string; before: number; after: number}>;

const planFields = ['urgency', 'weight'] as const satisfies ReadonlyArray<keyof Plan>;
const allowanceFields = ['maximumAccelerators', 'maximumSlots', 'maximumQueued'] as const satisfies ReadonlyArray<keyof Allowance>;
const noAllowance = {
	guarantees: [], maximumAccelerators: 0, maximumSlots: 0, maximumQueued: 0,
};

/** Lists the differences between two revisions; the order of elements is ignored. */
export function describeDifferences(before: Lists, after: Lists): readonly Difference[] {
	return [...comparePlans(before.plans, after.plans), ...compareAllowances(before.allowances, after.allowances)];
}

function comparePlans(before: readonly Plan[], after: readonly Plan[]): readonly Difference[] {
	const earlier = new Map(before.map(plan => [plan.name, plan]));
	const later = new Map(after.map(plan => [plan.name, plan]));
	return namesOf(earlier, later).flatMap((name): readonly Difference[] => {
		const [old, present] = [earlier.get(name), later.get(name)];
		if (old === undefined) {
			return [{kind: 'plan-added', plan: name}];
		}

		return present === undefined
			? [{kind: 'plan-removed', plan: name}]
			: compareFields({list: 'plans', plan: name}, planFields, old, present);
	});
}

function compareAllowances(before: readonly Allowance[], after: readonly Allowance[]): readonly Difference[] {
	const earlier = new Map(before.map(allowance => [allowance.plan, allowance]));
	const later = new Map(after.map(allowance => [allowance.plan, allowance]));
	return namesOf(earlier, later).flatMap((plan): readonly Difference[] => {
		const [old, present] = [earlier.get(plan), later.get(plan)];
		const existence: readonly Difference[] = [
			...(old === undefined ? [{kind: 'allowance-added' as const, plan}] : []),
			...(present === undefined ? [{kind: 'allowance-removed' as const, plan}] : []),
		];
		const [from, to] = [old ?? noAllowance, present ?? noAllowance];
		return [
			...existence,
			...(present === undefined ? [] : compareFields({list: 'allowances', plan}, allowanceFields, from, to)),
			...compareGuarantees(plan, from.guarantees, to.guarantees),
		];
	});
}

function compareFields<Field extends string>(
	where: Readonly<{list: 'plans' | 'allowances'; plan: string}>,
	fields: readonly Field[],
	before: Readonly<Record<Field, unknown>>,
	after: Readonly<Record<Field, unknown>>,
): readonly Difference[] {
	return fields.flatMap(field => before[field] === after[field]
		? []
		: [{
			kind: 'field-changed', ...where, field, before: before[field], after: after[field],
		}]);
}

function compareGuarantees(plan: string, before: readonly Guarantee[], after: readonly Guarantee[]): readonly Difference[] {
	const earlier = countByShape(before);
	const later = countByShape(after);
	return namesOf(earlier, later).flatMap((shape): readonly Difference[] => {
		const [old, present] = [earlier.get(shape) ?? 0, later.get(shape) ?? 0];
		return old === present
			? []
			: [{
				kind: 'guarantee-changed', plan, shape, before: old, after: present,
			}];
	});
}

function countByShape(guarantees: readonly Guarantee[]): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (const guarantee of guarantees) {
		const shape = shapeOf(guarantee);
		counts.set(shape, (counts.get(shape) ?? 0) + guarantee.count);
	}

	return counts;
}

function namesOf<Name>(before: ReadonlyMap<Name, unknown>, after: ReadonlyMap<Name, unknown>): readonly Name[] {
	return [...new Set([...before.keys(), ...after.keys()])];
}

/**
Formats one difference as a line of text.

@example
```
formatDifference({kind: 'plan-added', plan: 'rosters'});
//=> '+ plan rosters'
```
*/
export function formatDifference(difference: Difference): string {
	switch (difference.kind) {
		case 'plan-added': {
			return `+ plan ${difference.plan}`;
		}

		case 'plan-removed': {
			return `- plan ${difference.plan}`;
		}

		case 'allowance-added': {
			return `+ allowance of ${difference.plan}`;
		}

		case 'allowance-removed': {
			return `- allowance of ${difference.plan}`;
		}

		case 'field-changed': {
			const {list, plan, field, before, after} = difference;
			return `~ ${list === 'plans' ? 'plan' : 'allowance of'} ${plan}: ${field} ${String(before)} -> ${String(after)}`;
		}

		case 'guarantee-changed': {
			const {plan, shape, before, after} = difference;
			return `~ guarantee of ${plan}: ${shape}, count ${before} -> ${after}`;
		}

		default: {
			return assertNever(difference);
		}
	}
}
