import {assertNever, type MonotonicTime, type Step} from '#core';
import type {CurrentTime} from '#kernel';
import {admitCall} from './admission.js';
import {initialSwitches} from './constants.js';
import {
	checkLease, grantLease, renewLease, revokeLease,
} from './leases.js';
import {respond} from './respond.js';
import type {
	Respond, StoreCall, StoreEffect, StoreMessage, StoreState,
} from './types.js';
import {
	listValues, readValue, removeValue, writeValue,
} from './values.js';
import {addWatcher, rejectWatchers, expireWatcher} from './watches.js';

export const initialStoreState: StoreState = {
	revision: 0,
	values: new Map(),
	leases: new Map(),
	nextLease: 1,
	history: [],
	compactedThrough: 0,
	watchers: [],
	nextWatcher: 1,
	switches: initialSwitches,
	calls: new Map(),
	refusedCalls: 0,
	buckets: {write: {tokens: initialSwitches.writesPerSecond, filledAt: 0}, read: {tokens: initialSwitches.readsPerSecond, filledAt: 0}},
};

type StoreStep = Step<StoreState, StoreEffect>;

/** State transitions of the stand-in key-value service. */
export function receiveStoreMessage(state: StoreState, message: StoreMessage, {monotonic}: CurrentTime): StoreStep {
	switch (message.kind) {
		case 'call': {
			const admission = admitCall(state, message.call, message.respond, monotonic);
			switch (admission.kind) {
				case 'admitted': {
					return applyCall(admission.state, message.call, message.respond, monotonic);
				}

				case 'rejected': {
					return admission;
				}

				default: {
					return assertNever(admission);
				}
			}
		}

		case 'watch-expired': {
			return expireWatcher(state, message.watcher);
		}

		case 'lease-due': {
			return checkLease(state, message.lease, monotonic);
		}

		case 'set-switches': {
			const switched = {...state, switches: {...state.switches, ...message.switches}};
			const updated = switched.switches.outage ? rejectWatchers(switched) : {state: switched, effects: []};
			return {state: updated.state, effects: [...updated.effects, {...respond(updated.state, message.respond, 200, updated.state.switches), delay: 0}]};
		}

		case 'count-calls': {
			return {state, effects: [{...respond(state, message.respond, 200, countCalls(state)), delay: 0}]};
		}

		default: {
			return assertNever(message);
		}
	}
}

function applyCall(state: StoreState, call: StoreCall, callback: Respond, monotonic: MonotonicTime): StoreStep {
	switch (call.kind) {
		case 'read': {
			return readValue(state, call.key, callback);
		}

		case 'list': {
			return listValues(state, call.prefix, callback);
		}

		case 'write': {
			return writeValue(state, call, callback);
		}

		case 'remove': {
			return removeValue(state, call, callback);
		}

		case 'watch': {
			return addWatcher(state, call, callback);
		}

		case 'grant-lease': {
			return grantLease(state, call.timeToLive, callback, monotonic);
		}

		case 'renew-lease': {
			return renewLease(state, call.lease, callback, monotonic);
		}

		case 'revoke-lease': {
			return revokeLease(state, call.lease, callback);
		}

		default: {
			return assertNever(call);
		}
	}
}

function countCalls(state: StoreState): unknown {
	return {
		total: [...state.calls.values()].reduce((sum, count) => sum + count, 0),
		refused: state.refusedCalls,
		waitingWatches: state.watchers.length,
		byKind: Object.fromEntries(state.calls),
	};
}
