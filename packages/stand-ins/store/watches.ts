import type {Step} from '#core';
import type {WatchEvent} from '#store';
import {respond} from './respond.js';
import type {
	Respond, StoreCall, StoreEffect, StoreState,
} from './types.js';

type StoreStep = Step<StoreState, StoreEffect>;

/** Appends events to the history, each with its own revision, and replies to matching pending watches. */
export function publishEvents(state: StoreState, events: readonly WatchEvent[]): StoreStep {
	const revision = state.revision + events.length;
	const appended = [...state.history, ...events.map((event, index) => ({revision: state.revision + index + 1, event}))];
	const dropped = appended.slice(0, Math.max(0, appended.length - state.switches.historyLimit));
	const next: StoreState = {
		...state,
		revision,
		history: appended.slice(dropped.length),
		compactedThrough: dropped.at(-1)?.revision ?? state.compactedThrough,
	};
	const replies = state.watchers.flatMap(watcher => {
		const matching = events.filter(event => keyOf(event).startsWith(watcher.prefix));
		return matching.length === 0 ? [] : [{id: watcher.id, effect: respond(next, watcher.respond, 200, {revision, events: matching})}];
	});
	const repliedIds = new Set(replies.map(({id}) => id));
	return {
		state: {...next, watchers: state.watchers.filter(({id}) => !repliedIds.has(id))},
		effects: replies.map(({effect}) => effect),
	};
}

export function addWatcher(state: StoreState, call: Extract<StoreCall, {kind: 'watch'}>, callback: Respond): StoreStep {
	// A revision above the current one dates from before the service lost its state.
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

/** Ends a watch with an empty reply, or with none while the service hangs. */
export function expireWatcher(state: StoreState, watcherId: number): StoreStep {
	const expired = state.watchers.filter(({id}) => id === watcherId);
	return {
		state: {...state, watchers: state.watchers.filter(({id}) => id !== watcherId)},
		effects: state.switches.hang
			? []
			: expired.map(watcher => respond(state, watcher.respond, 200, {revision: state.revision, events: []})),
	};
}

/** Replies 503 to every pending watch when an outage begins. */
export function rejectWatchers(state: StoreState): StoreStep {
	return {
		state: {...state, watchers: []},
		effects: state.watchers.map(watcher => respond(state, watcher.respond, 503, {})),
	};
}

function keyOf(event: WatchEvent): string {
	return event.kind === 'put' ? event.stored.key : event.key;
}
