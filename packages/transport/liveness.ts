import {type MonotonicTime, type Step, assertNever} from '#core';
import type {Present} from '#kernel';
import {idleReceiveTimeoutMilliseconds, probeIntervalMilliseconds, receiveTimeoutMilliseconds} from '#protocol';

/** What a connection knows about traffic from the other side. */
export type LivenessState = Readonly<{
	lastReceivedAt: MonotonicTime;
	lastProbedAt: MonotonicTime;
	/** Number of unanswered calls. */
	pending: number;
	/** When the number of unanswered calls last rose from zero. */
	pendingSince: MonotonicTime;
	isClosed: boolean;
}>;

export type LivenessMessage =
	| Readonly<{kind: 'received'}>
	| Readonly<{kind: 'call-sent'}>
	| Readonly<{kind: 'call-ended'}>
	| Readonly<{kind: 'tick'}>
	| Readonly<{kind: 'closed'}>;

export type LivenessEffect =
	| Readonly<{kind: 'send-probe'}>
	| Readonly<{kind: 'terminate'; reason: string}>
	| Readonly<{kind: 'schedule-tick'}>;

export function createLivenessState(monotonic: MonotonicTime): LivenessState {
	return {
		lastReceivedAt: monotonic, lastProbedAt: monotonic, pending: 0, pendingSince: monotonic, isClosed: false,
	};
}

/** Decides when a connection is probed and when it counts as dead. TCP alone does not report a peer that vanished behind a middlebox. */
export function receiveLivenessMessage(state: LivenessState, message: LivenessMessage, {monotonic}: Present): Step<LivenessState, LivenessEffect> {
	switch (message.kind) {
		case 'received': {
			return {state: {...state, lastReceivedAt: monotonic}, effects: []};
		}

		case 'call-sent': {
			const pendingSince = state.pending === 0 ? monotonic : state.pendingSince;
			return {state: {...state, pending: state.pending + 1, pendingSince}, effects: []};
		}

		case 'call-ended': {
			return {state: {...state, pending: Math.max(0, state.pending - 1)}, effects: []};
		}

		case 'closed': {
			return {state: {...state, isClosed: true}, effects: []};
		}

		case 'tick': {
			return state.isClosed ? {state, effects: []} : checkLiveness(state, monotonic);
		}

		default: {
			return assertNever(message);
		}
	}
}

function checkLiveness(state: LivenessState, monotonic: MonotonicTime): Step<LivenessState, LivenessEffect> {
	const isWaiting = state.pending > 0;
	const silentSince = isWaiting ? Math.max(state.lastReceivedAt, state.pendingSince) : state.lastReceivedAt;
	const limit = isWaiting ? receiveTimeoutMilliseconds : idleReceiveTimeoutMilliseconds;
	const silence = monotonic - silentSince;
	if (silence >= limit) {
		return {state: {...state, isClosed: true}, effects: [{kind: 'terminate', reason: `no traffic for ${limit} ms`}]};
	}

	const isProbeDue = isWaiting && silence >= probeIntervalMilliseconds && monotonic - state.lastProbedAt >= probeIntervalMilliseconds;
	return isProbeDue
		? {state: {...state, lastProbedAt: monotonic}, effects: [{kind: 'send-probe'}, {kind: 'schedule-tick'}]}
		: {state, effects: [{kind: 'schedule-tick'}]};
}
