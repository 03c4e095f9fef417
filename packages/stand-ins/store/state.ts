import {assertNever, type Step} from '#core';
import type {HttpReply} from '#kernel';
import type {StoredValue, WatchEvent} from '#store';
import type {
	Respond, StoreEffect, StoreMessage, StoreState,
} from './types.js';

export const initialStoreState: StoreState = {
	revision: 0, values: new Map(), history: [], watchers: [], nextWatcher: 1,
};

type StoreStep = Step<StoreState, StoreEffect>;

/** Decisions of the stand-in key-value service. */
export function receiveStoreMessage(state: StoreState, message: StoreMessage): StoreStep {
	switch (message.kind) {
		case 'read': {
			const stored = state.values.get(message.key);
			return {state, effects: [stored === undefined ? respond(message.respond, 404, {}) : respond(message.respond, 200, stored)]};
		}

		case 'list': {
			const values = [...state.values.values()].filter(stored => stored.key.startsWith(message.prefix));
			return {state, effects: [respond(message.respond, 200, {revision: state.revision, values})]};
		}

		case 'write': {
			return writeValue(state, message);
		}

		case 'remove': {
			return removeValue(state, message);
		}

		case 'watch': {
			return addWatcher(state, message);
		}

		case 'watch-expired': {
			const expired = state.watchers.filter(watcher => watcher.id === message.watcher);
			return {
				state: {...state, watchers: state.watchers.filter(watcher => watcher.id !== message.watcher)},
				effects: expired.map(watcher => respond(watcher.respond, 200, {revision: state.revision, events: []})),
			};
		}

		default: {
			return assertNever(message);
		}
	}
}

function respond(callback: Respond, status: number, body: unknown): StoreEffect {
	const reply: HttpReply = {kind: 'json', status, body};
	return {kind: 'respond', respond: callback, reply};
}

function writeValue(state: StoreState, message: Extract<StoreMessage, {kind: 'write'}>): StoreStep {
	const current = state.values.get(message.key);
	if ((current?.version ?? 0) !== message.expectedVersion) {
		return {state, effects: [respond(message.respond, 409, {current: current ?? null})]};
	}

	const revision = state.revision + 1;
	const stored: StoredValue = {key: message.key, value: message.value, version: revision};
	const values = new Map(state.values).set(message.key, stored);
	return announceEvent({...state, revision, values}, {kind: 'put', stored}, [respond(message.respond, 200, {version: revision})]);
}

function removeValue(state: StoreState, message: Extract<StoreMessage, {kind: 'remove'}>): StoreStep {
	const current = state.values.get(message.key);
	if (current?.version !== message.expectedVersion) {
		return {state, effects: [respond(message.respond, 409, {current: current ?? null})]};
	}

	const revision = state.revision + 1;
	const values = new Map(state.values);
	values.delete(message.key);
	return announceEvent({...state, revision, values}, {kind: 'deleted', key: message.key}, [respond(message.respond, 200, {version: revision})]);
}

function keyOf(event: WatchEvent): string {
	return event.kind === 'put' ? event.stored.key : event.key;
}

function announceEvent(state: StoreState, event: WatchEvent, effects: readonly StoreEffect[]): StoreStep {
	const interested = state.watchers.filter(watcher => keyOf(event).startsWith(watcher.prefix));
	const replies = interested.map(watcher => respond(watcher.respond, 200, {revision: state.revision, events: [event]}));
	return {
		state: {
			...state,
			history: [...state.history, {revision: state.revision, event}],
			watchers: state.watchers.filter(watcher => !interested.includes(watcher)),
		},
		effects: [...effects, ...replies],
	};
}

function addWatcher(state: StoreState, message: Extract<StoreMessage, {kind: 'watch'}>): StoreStep {
	const events = state.history
		.filter(({revision, event}) => revision > message.after && keyOf(event).startsWith(message.prefix))
		.map(({event}) => event);
	if (events.length > 0) {
		return {state, effects: [respond(message.respond, 200, {revision: state.revision, events})]};
	}

	const watcher = {
		prefix: message.prefix, after: message.after, respond: message.respond, id: state.nextWatcher,
	};
	return {
		state: {...state, watchers: [...state.watchers, watcher], nextWatcher: state.nextWatcher + 1},
		effects: [{kind: 'schedule-expiry', watcher: watcher.id, delay: message.wait}],
	};
}
