import type {Configuration} from '#configuration';
import {
	assertNever, type Milliseconds, type MonotonicTime, type Step, type WorkerId, type ZoneName,
} from '#core';
import type {CurrentTime} from '#kernel';
import {createEmptyLayout, repairLayout, type Layout} from '#placement';
import {initialRepairDelayMilliseconds} from './constants.js';
import {describeInventory, observeWorkers} from './inventory.js';
import type {
	LayoutEffect, LayoutMessage, LayoutState,
} from './types.js';

export function createLayoutState(zone: ZoneName, absenceDelay: Milliseconds, startedAt: MonotonicTime): LayoutState {
	return {
		zone,
		absenceDelay,
		startedAt,
		stored: undefined,
		isStoreStale: false,
		isWriting: false,
		lastRepairInput: '',
		isComplete: false,
		workers: new Map(),
		absent: new Map<WorkerId, never>(),
	};
}

/** Maintains and repairs the layout of the zone; at most one write is outstanding at a time. */
export function receiveLayoutMessage(state: LayoutState, message: LayoutMessage, {monotonic}: CurrentTime): Step<LayoutState, LayoutEffect> {
	switch (message.kind) {
		case 'repair-due': {
			const observed = observeWorkers(state, message.agents, monotonic);
			return repair({...observed, isComplete: monotonic - state.startedAt >= initialRepairDelayMilliseconds}, message.configuration, monotonic);
		}

		case 'observed': {
			return {state: applyIfNewer(state, message), effects: []};
		}

		case 'written': {
			return {state: {...applyIfNewer(state, message), isWriting: false, isStoreStale: false}, effects: []};
		}

		case 'write-refused': {
			return {state: {...applyIfNewer(state, message), isWriting: false}, effects: []};
		}

		case 'write-failed': {
			return {state: {...state, isWriting: false}, effects: []};
		}

		default: {
			return assertNever(message);
		}
	}
}

/** Revisions never decrease: the next write replaces an older value in the store with the layout in force. */
function applyIfNewer(state: LayoutState, {layout, version}: Readonly<{layout: Layout | undefined; version: number}>): LayoutState {
	const {stored} = state;
	const observed = layout ?? createEmptyLayout(state.zone);
	if (stored === undefined || observed.revision > stored.layout.revision) {
		return {...state, stored: {layout: observed, version}, isStoreStale: false};
	}

	return {...state, stored: {...stored, version}, isStoreStale: observed.revision < stored.layout.revision};
}

/** Repairs the layout, unless it was computed for a newer configuration than this process has. */
function repair(state: LayoutState, configuration: Configuration | undefined, now: MonotonicTime): Step<LayoutState, LayoutEffect> {
	const {stored} = state;
	if (stored === undefined || configuration === undefined || !state.isComplete || state.isWriting || stored.layout.configurationRevision > configuration.revision) {
		return {state, effects: []};
	}

	const repairInput = serializeRepairInput(state, stored.layout, {configuration, now});
	if (repairInput === state.lastRepairInput && !state.isStoreStale) {
		return {state, effects: []};
	}

	const layout = repairLayout(stored.layout, configuration, describeInventory(state), now);
	return layout === stored.layout && !state.isStoreStale
		? {state: {...state, lastRepairInput: repairInput}, effects: []}
		: {state: {...state, isWriting: true}, effects: [{kind: 'write', layout, expectedVersion: stored.version}]};
}

/** Serializes the inputs that can require a repair; pinned accelerators only influence which free ones a repair chooses. A repair with many unmet cells is slow, so it is not repeated for the same input. */
function serializeRepairInput({workers, absent, absenceDelay}: LayoutState, layout: Layout, {configuration, now}: Readonly<{configuration: Configuration; now: MonotonicTime}>): string {
	return JSON.stringify([
		layout.revision,
		configuration.revision,
		[...workers.values()].map(({worker, rack, accelerators}) => [worker, rack, accelerators]),
		[...absent.values()].map(({worker, since}) => [worker, now - since < absenceDelay]),
	]);
}
