import {
	assertNever, type Milliseconds, type RandomSource, type Step,
} from '#core';
import {computeBackoff} from './backoff.js';
import type {
	ListReply, StoredValue, WatchEvent, WatchReply,
} from './types.js';

export type WatchState = Readonly<{
	/** Store revision up to which everything was observed; undefined before the first list and after lost events. */
	revision: number | undefined;
	/** Failed calls in a row. */
	failures: number;
	isStopped: boolean;
}>;

export type WatchMessage =
	| Readonly<{kind: 'due'}>
	| Readonly<{kind: 'replied'; reply: ListReply | WatchReply}>
	| Readonly<{kind: 'stop'}>;

/** What a watch learnt: everything under the prefix, or what changed since. */
export type Observation =
	| Readonly<{kind: 'all'; values: readonly StoredValue[]}>
	| Readonly<{kind: 'changes'; events: readonly WatchEvent[]}>;

/** Values that an observation brings. */
export function extractValues(observation: Observation): readonly StoredValue[] {
	switch (observation.kind) {
		case 'all': {
			return observation.values;
		}

		case 'changes': {
			return observation.events.flatMap(event => event.kind === 'put' ? [event.stored] : []);
		}
	}
}

export type WatchEffect =
	| Readonly<{kind: 'list'}>
	| Readonly<{kind: 'watch'; after: number}>
	| Readonly<{kind: 'observe'; observation: Observation}>
	| Readonly<{kind: 'report-failure'; message: string; failures: number}>
	| Readonly<{kind: 'schedule'; delay: Milliseconds}>;

export const initialWatchState: WatchState = {revision: undefined, failures: 0, isStopped: false};

/** Decides when a watch lists, waits for events and tries again. */
export function receiveWatchMessage(state: WatchState, message: WatchMessage, random: RandomSource, maximumBackoff?: Milliseconds): Step<WatchState, WatchEffect> {
	if (state.isStopped) {
		return {state, effects: []};
	}

	switch (message.kind) {
		case 'due': {
			return {state, effects: [callFor(state)]};
		}

		case 'replied': {
			return handleReply(state, message.reply, random, maximumBackoff);
		}

		case 'stop': {
			return {state: {...state, isStopped: true}, effects: []};
		}

		default: {
			return assertNever(message);
		}
	}
}

function callFor({revision}: WatchState): WatchEffect {
	return revision === undefined ? {kind: 'list'} : {kind: 'watch', after: revision};
}

function handleReply(state: WatchState, reply: ListReply | WatchReply, random: RandomSource, maximumBackoff: Milliseconds | undefined): Step<WatchState, WatchEffect> {
	switch (reply.kind) {
		case 'listed': {
			return observe({...state, revision: reply.revision, failures: 0}, {kind: 'all', values: reply.values});
		}

		case 'events': {
			const next = {...state, revision: reply.revision, failures: 0};
			return reply.events.length === 0
				? {state: next, effects: [callFor(next)]}
				: observe(next, {kind: 'changes', events: reply.events});
		}

		// Many watches fall behind at the same time, so their lists are spread like retries.
		case 'compacted': {
			const failures = state.failures + 1;
			return {state: {...state, revision: undefined, failures}, effects: [{kind: 'schedule', delay: computeBackoff(failures, random, 0, maximumBackoff)}]};
		}

		case 'unavailable': {
			const failures = state.failures + 1;
			return {
				state: {...state, failures},
				effects: [
					{kind: 'report-failure', message: reply.message, failures},
					{kind: 'schedule', delay: computeBackoff(failures, random, reply.retryAfterMilliseconds, maximumBackoff)},
				],
			};
		}

		default: {
			return assertNever(reply);
		}
	}
}

function observe(state: WatchState, observation: Observation): Step<WatchState, WatchEffect> {
	return {state, effects: [{kind: 'observe', observation}, callFor(state)]};
}
