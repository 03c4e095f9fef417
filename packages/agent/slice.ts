import type {Step} from '#core';
import type {Slice} from '#protocol';

export type SliceState = Readonly<{current: Slice | undefined}>;
export type SliceMessage = Readonly<{kind: 'received'; slice: Slice}>;

/** Applies the newer parts of a slice. Plans are versioned by the configuration revision and cells by the layout revision; late messages with a lower revision change nothing. */
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

/** Applies a slice to the current plans; undefined if its base revision is newer than the current one. */
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
