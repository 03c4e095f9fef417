/** What closed zones mean for the scheduler: their workers get no starts, and what already runs there may end. */
import type {MonotonicTime} from '#core';
import {compareZones, isZoneClosed, type ClosedZones} from '#zones';
import {unnamedZoneLogMilliseconds} from './constants.js';
import {listRunsOf, type ListedRun, type SchedulerTransition} from './runs.js';
import type {SchedulerEffect, SchedulerState, SchedulerWorker} from './types.js';

/** A closed zone with the workers that name it and the runs that are still there. */
export type ZoneContents = Readonly<{zone: string; workers: readonly SchedulerWorker[]; runs: readonly ListedRun[]}>;

/** Whether the operators have closed the worker's zone. */
export function isInClosedZone({closedZones}: SchedulerState, {snapshot}: SchedulerWorker): boolean {
	return isZoneClosed(closedZones, snapshot.zone);
}

/** Takes over a newer list, where operators evacuate zones and take them back into service. Workers of a zone that was opened may be used again, so that a change requests a pass. */
export function handleZones(state: SchedulerState, zones: ClosedZones): SchedulerTransition {
	if (zones.revision <= state.closedZones.revision) {
		return {state, effects: []};
	}

	const {closed, opened} = compareZones(state.closedZones, zones);
	const hasChanged = closed.length + opened.length > 0;
	const next = {...state, closedZones: zones, isScheduleDue: state.isScheduleDue || hasChanged};
	// A new scheduler does not know yet what is in the zones.
	return {
		state: next,
		effects: state.isLoaded
			? [
				...opened.map(([zone, {revision}]) => describeChange(next, 'zone-opened', zone, revision)),
				...closed.map(([zone, {revision}]) => describeChange(next, 'zone-closed', zone, revision)),
			]
			: [],
	};
}

function describeChange(state: SchedulerState, event: 'zone-closed' | 'zone-opened', zone: string, revision: number): SchedulerEffect {
	const {workers, runs} = findContents(state, zone);
	return {
		kind: 'log', event, fields: {
			zone, revision, workers: workers.length, runs: runs.length,
		},
	};
}

function findContents(state: SchedulerState, zone: string): ZoneContents {
	const workers = [...state.workers.values()].filter(({snapshot}) => snapshot.zone === zone);
	return {zone, workers, runs: workers.flatMap(({agent}) => listRunsOf(state, agent))};
}

/** Lists the closed zones with what is still there. */
export function listClosedZones(state: SchedulerState): readonly ZoneContents[] {
	return [...state.closedZones.zones.keys()].map(zone => findContents(state, zone));
}

export function countRunsInClosedZones(state: SchedulerState): number {
	return listClosedZones(state).reduce((total, {runs}) => total + runs.length, 0);
}

/** Logs once each closed zone that no worker names, once the workers had time to report: its key may be misspelt. */
export function logUnnamedZones(state: SchedulerState, monotonic: MonotonicTime): SchedulerTransition {
	const haveReported = state.isLoaded && state.unread.size === 0;
	const due = [...state.closedZones.zones].filter(([zone, {since, revision}]) => haveReported
		&& monotonic - since >= unnamedZoneLogMilliseconds && state.checkedZones.get(zone) !== revision);
	return due.length === 0
		? {state, effects: []}
		: {
			state: {...state, checkedZones: new Map([...state.checkedZones, ...due.map(([zone, {revision}]): [string, number] => [zone, revision])])},
			effects: due
				.filter(([zone]) => findContents(state, zone).workers.length === 0)
				.map(([zone, {revision}]) => ({kind: 'log', event: 'closed-zone-without-workers', fields: {zone, revision}})),
		};
}
