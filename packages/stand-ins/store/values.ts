import type {Step} from '#core';
import {maximumValueBytes, type StoredValue} from '#store';
import {publishEvents} from './watches.js';
import {respond} from './respond.js';
import type {
	ValueRecord, Respond, StoreCall, StoreEffect, StoreState,
} from './types.js';

type StoreStep = Step<StoreState, StoreEffect>;

export function readValue(state: StoreState, key: string, callback: Respond): StoreStep {
	const record = state.values.get(key);
	return {state, effects: [record === undefined ? respond(state, callback, 404, {}) : respond(state, callback, 200, record.stored)]};
}

export function listValues(state: StoreState, prefix: string, callback: Respond): StoreStep {
	const values = [...state.values.values()].map(({stored}) => stored).filter(({key}) => key.startsWith(prefix));
	return {state, effects: [respond(state, callback, 200, {revision: state.revision, values})]};
}

export function writeValue(state: StoreState, call: Extract<StoreCall, {kind: 'write'}>, callback: Respond): StoreStep {
	const {
		key, value, expectedVersion, lease,
	} = call;
	if (new TextEncoder().encode(JSON.stringify(value) ?? 'null').length > maximumValueBytes) {
		return {state, effects: [respond(state, callback, 413, {})]};
	}

	if (lease !== undefined && !state.leases.has(lease)) {
		return {state, effects: [respond(state, callback, 410, {})]};
	}

	const current = state.values.get(key);
	if ((current?.stored.version ?? 0) !== expectedVersion) {
		return respondConflict(state, current, callback);
	}

	const stored: StoredValue = {key, value, version: state.revision + 1};
	const values = new Map(state.values).set(key, {stored, lease});
	return respondWritten(publishEvents({...state, values}, [{kind: 'put', stored}]), callback);
}

export function removeValue(state: StoreState, {key, expectedVersion}: Extract<StoreCall, {kind: 'remove'}>, callback: Respond): StoreStep {
	const current = state.values.get(key);
	if (current?.stored.version !== expectedVersion) {
		return respondConflict(state, current, callback);
	}

	const values = new Map(state.values);
	values.delete(key);
	return respondWritten(publishEvents({...state, values}, [{kind: 'deleted', key}]), callback);
}

function respondConflict(state: StoreState, current: ValueRecord | undefined, callback: Respond): StoreStep {
	return {state, effects: [respond(state, callback, 409, {current: current?.stored ?? null})]};
}

/** Replies to an applied write, unless `loseWriteAnswers` drops the reply. */
function respondWritten({state, effects}: StoreStep, callback: Respond): StoreStep {
	const {loseWriteAnswers} = state.switches;
	if (loseWriteAnswers > 0) {
		return {state: {...state, switches: {...state.switches, loseWriteAnswers: loseWriteAnswers - 1}}, effects};
	}

	return {state, effects: [respond(state, callback, 200, {version: state.revision}), ...effects]};
}
