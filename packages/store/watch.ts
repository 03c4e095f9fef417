import {
	assertNever, type Milliseconds, type RandomSource, type Step,
} from '#core';
import {computeBackoff} from './backoff.js';
import type {
	ListReply, StoredValue, WatchEvent, WatchReply,
} from './types.js';

export type WatchState = Readonly<{
	/** Store revision up to which all events were observed; undefined before the first list and after events were lost. */
	revision: number | undefined;
	/** Number of consecutive failed calls. */
	failures: number;
	isStopped: boolean;
}>;

export type WatchMessage =
	| Readonly<{kind: 'due'}>
	| Readonly<{kind: 'replied'; reply: ListReply | WatchReply}>
	| Readonly<{kind: 'stop'}>;

/** Data that a watch received, with the store revision up to which it is whole: all values under the prefix, or the changes since the last observation. */
export type Observation =
	| Readonly<{kind: 'all'; revision: number; values: readonly StoredValue[]}>
	| Readonly<{kind: 'changes'; revision: number; events: readonly WatchEvent[]}>;

/** Returns the values of an observation, without deletions. */
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

/** Decides when a watch lists keys, waits for events and retries. */
export function receiveWatchMessage(state: WatchState, message: WatchMessage, random: RandomSource, maximumBackoff?: Milliseconds): Step<WatchState, WatchEffect> {
	if (state.isStopped) {
		return {state, effects: []};
	}

	switch (message.kind) {
		case 'due': {
			return {state, effects: [createNextCall(state)]};
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

function createNextCall({revision}: WatchState): WatchEffect {
	return revision === undefined ? {kind: 'list'} : {kind: 'watch', after: revision};
}

function handleReply(state: WatchState, reply: ListReply | WatchReply, random: RandomSource, maximumBackoff: Milliseconds | undefined): Step<WatchState, WatchEffect> {
	switch (reply.kind) {
		case 'listed': {
			return observe({...state, revision: reply.revision, failures: 0}, {kind: 'all', revision: reply.revision, values: reply.values});
		}

		case 'events': {
			const next = {...state, revision: reply.revision, failures: 0};
			return reply.events.length === 0
				? {state: next, effects: [createNextCall(next)]}
				: observe(next, {kind: 'changes', revision: reply.revision, events: reply.events});
		}

		// Many watches fall behind at the same time, so their lists are spread with the same backoff as retries.
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
	return {state, effects: [{kind: 'observe', observation}, createNextCall(state)]};
}
