import type {Milliseconds, MonotonicTime, Step} from '#core';
import {respond} from './respond.js';
import type {Respond, StoreEffect, StoreState} from './types.js';
import {publishEvents} from './watches.js';

type StoreStep = Step<StoreState, StoreEffect>;

export function grantLease(state: StoreState, timeToLive: Milliseconds, callback: Respond, monotonic: MonotonicTime): StoreStep {
	const id = `lease-${state.nextLease}`;
	return {
		state: {
			...state,
			nextLease: state.nextLease + 1,
			leases: new Map(state.leases).set(id, {id, timeToLive, expiresAt: monotonic + timeToLive}),
		},
		effects: [
			respond(state, callback, 200, {lease: id}),
			{kind: 'schedule-lease-check', lease: id, delay: timeToLive},
		],
	};
}

export function renewLease(state: StoreState, id: string, callback: Respond, monotonic: MonotonicTime): StoreStep {
	const lease = state.leases.get(id);
	if (lease === undefined) {
		return {state, effects: [respond(state, callback, 404, {})]};
	}

	const renewed = {...lease, expiresAt: monotonic + lease.timeToLive};
	return {state: {...state, leases: new Map(state.leases).set(id, renewed)}, effects: [respond(state, callback, 200, {lease: id})]};
}

export function revokeLease(state: StoreState, id: string, callback: Respond): StoreStep {
	if (!state.leases.has(id)) {
		return {state, effects: [respond(state, callback, 404, {})]};
	}

	const ended = removeLease(state, id);
	return {state: ended.state, effects: [respond(ended.state, callback, 200, {lease: id}), ...ended.effects]};
}

/** Removes an expired lease with its keys, or schedules the next check. Leases also expire during an outage. */
export function checkLease(state: StoreState, id: string, monotonic: MonotonicTime): StoreStep {
	const lease = state.leases.get(id);
	if (lease === undefined) {
		return {state, effects: []};
	}

	const remaining = lease.expiresAt - monotonic;
	return remaining > 0
		? {state, effects: [{kind: 'schedule-lease-check', lease: id, delay: remaining}]}
		: removeLease(state, id);
}

function removeLease(state: StoreState, id: string): StoreStep {
	const leases = new Map(state.leases);
	leases.delete(id);
	const keys = [...state.values.values()].filter(({lease}) => lease === id).map(({stored}) => stored.key);
	const values = new Map(state.values);
	for (const key of keys) {
		values.delete(key);
	}

	return publishEvents({...state, leases, values}, keys.map(key => ({kind: 'deleted', key})));
}
