import type {Step} from '#core';
import type {Slice} from '#protocol';

export type SliceState = Readonly<{current: Slice | undefined}>;
export type SliceMessage = Readonly<{kind: 'received'; slice: Slice}>;

/** Takes the newer part of a slice. Plans follow the revision of the configuration and cells that of the layout; neither goes back, however late a message arrives. */
export function receiveSliceMessage({current}: SliceState, {slice}: SliceMessage): Step<SliceState, never> {
	if (current === undefined) {
		return {state: {current: slice}, effects: []};
	}

	const {configurationRevision, plans} = slice.configurationRevision > current.configurationRevision ? slice : current;
	const {layoutRevision, cells} = slice.layoutRevision > current.layoutRevision ? slice : current;
	return {
		state: {
			current: {
				configurationRevision, layoutRevision, cells, plans,
			},
		}, effects: [],
	};
}
