import type {Step} from '#core';
import type {WatchEvent} from '#store';
import {respond} from './respond.js';
import type {
	Respond, StoreCall, StoreEffect, StoreState,
} from './types.js';

type StoreStep = Step<StoreState, StoreEffect>;

/** Records events, each under a revision of its own, and answers the watches that wait for them. */
export function publishEvents(state: StoreState, events: readonly WatchEvent[]): StoreStep {
	const revision = state.revision + events.length;
	const recorded = [...state.history, ...events.map((event, index) => ({revision: state.revision + index + 1, event}))];
	const dropped = recorded.slice(0, Math.max(0, recorded.length - state.switches.historyLimit));
	const next: StoreState = {
		...state,
		revision,
		history: recorded.slice(dropped.length),
		compactedThrough: dropped.at(-1)?.revision ?? state.compactedThrough,
	};
	const answers = state.watchers.flatMap(watcher => {
		const wanted = events.filter(event => keyOf(event).startsWith(watcher.prefix));
		return wanted.length === 0 ? [] : [{id: watcher.id, effect: respond(next, watcher.respond, 200, {revision, events: wanted})}];
	});
	const answered = new Set(answers.map(({id}) => id));
	return {
		state: {...next, watchers: state.watchers.filter(({id}) => !answered.has(id))},
		effects: answers.map(({effect}) => effect),
	};
}

export function addWatcher(state: StoreState, call: Extract<StoreCall, {kind: 'watch'}>, callback: Respond): StoreStep {
	// A revision that was never reached comes from before a loss of all state.
	if (call.after < state.compactedThrough || call.after > state.revision) {
		return {state, effects: [respond(state, callback, 410, {})]};
	}

	const events = state.history
		.filter(({revision, event}) => revision > call.after && keyOf(event).startsWith(call.prefix))
		.map(({event}) => event);
	if (events.length > 0) {
		return {state, effects: [respond(state, callback, 200, {revision: state.revision, events})]};
	}

	const watcher = {
		prefix: call.prefix, after: call.after, respond: callback, id: state.nextWatcher,
	};
	return {
		state: {...state, watchers: [...state.watchers, watcher], nextWatcher: state.nextWatcher + 1},
		effects: [{
			kind: 'schedule-watch-expiry', watcher: watcher.id, delay: call.wait, signal: call.signal,
		}],
	};
}

/** Answers a watch without events. While the service hangs, the watch ends without an answer. */
export function expireWatcher(state: StoreState, watcherId: number): StoreStep {
	const expired = state.watchers.filter(({id}) => id === watcherId);
	return {
		state: {...state, watchers: state.watchers.filter(({id}) => id !== watcherId)},
		effects: state.switches.hang
			? []
			: expired.map(watcher => respond(state, watcher.respond, 200, {revision: state.revision, events: []})),
	};
}

/** Cuts off every pending watch, as an outage does. */
export function rejectWatchers(state: StoreState): StoreStep {
	return {
		state: {...state, watchers: []},
		effects: state.watchers.map(watcher => respond(state, watcher.respond, 503, {})),
	};
}

function keyOf(event: WatchEvent): string {
	return event.kind === 'put' ? event.stored.key : event.key;
}
