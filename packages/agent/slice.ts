import type {Step} from '#core';
import type {Slice} from '#protocol';

export type SliceState = Readonly<{current: Slice | undefined}>;
export type SliceMessage = Readonly<{kind: 'received'; slice: Slice}>;

/** Takes the newer part of a slice. Plans follow the revision of the configuration and cells that of the layout; neither goes back, however late a message arrives. */
export function receiveSliceMessage({current}: SliceState, {slice}: SliceMessage): Step<SliceState, never> {
	const plans = mergePlans(current, slice);
	if (current === undefined) {
		return {state: {current: plans === undefined ? undefined : {...slice, plans}}, effects: []};
	}

	const isNewer = slice.configurationRevision > current.configurationRevision && plans !== undefined;
	const {layoutRevision, cells} = slice.layoutRevision > current.layoutRevision ? slice : current;
	return {
		state: {
			current: {
				configurationRevision: isNewer ? slice.configurationRevision : current.configurationRevision,
				layoutRevision,
				cells,
				plans: isNewer ? plans : current.plans,
			},
		}, effects: [],
	};
}

/** Undefined if the slice adds to a revision that this agent does not have. */
function mergePlans(current: Slice | undefined, {basis, plans, removedPlans = []}: Slice): Slice['plans'] | undefined {
	if (basis === undefined) {
		return plans;
	}

	if (current === undefined || current.configurationRevision < basis) {
		return undefined;
	}

	const merged = new Map([...current.plans, ...plans].map(limit => [limit.plan, limit]));
	for (const plan of removedPlans) {
		merged.delete(plan);
	}

	return [...merged.values()];
}
