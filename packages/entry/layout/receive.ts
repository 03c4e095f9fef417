import type {Configuration} from '#configuration';
import {
	assertNever, type Milliseconds, type MonotonicTime, type Step, type WorkerId, type ZoneName,
} from '#core';
import type {Present} from '#kernel';
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

/** Keeps the layout of the zone in force and repairs it; one write is outstanding at a time. */
export function receiveLayoutMessage(state: LayoutState, message: LayoutMessage, {monotonic}: Present): Step<LayoutState, LayoutEffect> {
	switch (message.kind) {
		case 'repair-due': {
			const observed = observeWorkers(state, message.agents, monotonic);
			return repair({...observed, isComplete: monotonic - state.startedAt >= initialRepairDelayMilliseconds}, message.configuration, monotonic);
		}

		case 'observed': {
			return {state: takeNewer(state, message), effects: []};
		}

		case 'written': {
			return {state: {...takeNewer(state, message), isWriting: false, isStoreStale: false}, effects: []};
		}

		case 'write-refused': {
			return {state: {...takeNewer(state, message), isWriting: false}, effects: []};
		}

		case 'write-failed': {
			return {state: {...state, isWriting: false}, effects: []};
		}

		default: {
			return assertNever(message);
		}
	}
}

/** Revisions never go back: an older value in the store is replaced by the layout in force with the next write. */
function takeNewer(state: LayoutState, {layout, version}: Readonly<{layout: Layout | undefined; version: number}>): LayoutState {
	const {stored} = state;
	const observed = layout ?? createEmptyLayout(state.zone);
	if (stored === undefined || observed.revision > stored.layout.revision) {
		return {...state, stored: {layout: observed, version}, isStoreStale: false};
	}

	return {...state, stored: {...stored, version}, isStoreStale: observed.revision < stored.layout.revision};
}

/** Does nothing while the stored layout was made for a newer configuration than this process has. */
function repair(state: LayoutState, configuration: Configuration | undefined, now: MonotonicTime): Step<LayoutState, LayoutEffect> {
	const {stored} = state;
	if (stored === undefined || configuration === undefined || !state.isComplete || state.isWriting || stored.layout.configurationRevision > configuration.revision) {
		return {state, effects: []};
	}

	const repairedFrom = describeSources(state, stored.layout, {configuration, now});
	if (repairedFrom === state.lastRepairInput && !state.isStoreStale) {
		return {state, effects: []};
	}

	const layout = repairLayout(stored.layout, configuration, describeInventory(state), now);
	return layout === stored.layout && !state.isStoreStale
		? {state: {...state, lastRepairInput: repairedFrom}, effects: []}
		: {state: {...state, isWriting: true}, effects: [{kind: 'write', layout, expectedVersion: stored.version}]};
}

/** Everything that decides where cells can be. A repair with many unmet cells takes long, so it is not repeated for the same. */
function describeSources({workers, absent, absenceDelay}: LayoutState, layout: Layout, {configuration, now}: Readonly<{configuration: Configuration; now: MonotonicTime}>): string {
	return JSON.stringify([
		layout.revision,
		configuration.revision,
		[...workers.values()].map(({worker, rack, accelerators}) => [worker, rack, accelerators]),
		[...absent.values()].map(({worker, since}) => [worker, now - since < absenceDelay]),
	]);
}
