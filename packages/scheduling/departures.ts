/**
Remembers for a while which agents' workers left, came back or announced that they leave.

Addresses long gangs, and other work that cannot save its progress, in pools where some workers come and go: what runs on them is lost with each departure, and a gang is lost as a whole.
*/
import type {Milliseconds, MonotonicTime} from '#core';
import {departureMemoryMilliseconds, rememberedDepartures} from './constants.js';
import type {PoolWorker} from './pool.js';
import type {AgentName, SchedulerState} from './types.js';
import type {SchedulingUnit} from './units.js';

/** Until when the agents' workers count as unstable. */
export type Departures = SchedulerState['departures'];

/** Notes that an agent's worker left, was replaced or announced that it leaves. The oldest of more agents than are remembered is forgotten. */
export function noteDeparture(state: SchedulerState, agent: AgentName, monotonic: MonotonicTime): SchedulerState {
	const known = state.departures.filter(until => until > monotonic).delete(agent);
	const oldest = known.size < rememberedDepartures ? undefined : findOldest(known);
	return {...state, departures: (oldest === undefined ? known : known.delete(oldest)).set(agent, monotonic + departureMemoryMilliseconds)};
}

function findOldest(departures: Departures): AgentName | undefined {
	return [...departures].toSorted(([, first], [, second]) => first - second)[0]?.[0];
}

/** Whether a loss of the worker would discard much of the unit's work. */
export function isSensitiveToDepartures({step}: Pick<SchedulingUnit, 'step'>): boolean {
	return !step.isCheckpointing && !step.isLongRunning && step.estimatedMilliseconds >= sensitiveDurationMilliseconds;
}

/** Shorter work mostly ends before its worker leaves, and is not worth a less tight fit. */
const sensitiveDurationMilliseconds: Milliseconds = 2000;

/** Whether work that cannot save its progress takes the worker beside an agent last. */
export function isUnstable({departures, policy}: Pick<SchedulerState, 'departures' | 'policy'>, agent: AgentName, monotonic: MonotonicTime): boolean {
	return policy.unstableWorkers === 'last' && (departures.get(agent) ?? -Infinity) > monotonic;
}

/** Orders workers that lately came and went behind the others, for work that a departure would discard; the order is kept otherwise. */
export function preferStable(unit: SchedulingUnit, candidates: readonly PoolWorker[]): readonly PoolWorker[] {
	return isSensitiveToDepartures(unit) && candidates.some(({isUnstable}) => isUnstable)
		? [...candidates.filter(({isUnstable}) => !isUnstable), ...candidates.filter(({isUnstable}) => isUnstable)]
		: candidates;
}

/** Leaves out workers that lately came and went, for a gang that a departure would discard. */
export function listStable(unit: SchedulingUnit, candidates: readonly PoolWorker[]): readonly PoolWorker[] {
	return isSensitiveToDepartures(unit) && candidates.some(({isUnstable}) => isUnstable) ? candidates.filter(({isUnstable}) => !isUnstable) : candidates;
}
