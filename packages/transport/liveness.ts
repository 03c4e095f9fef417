import {type MonotonicTime, type Step, assertNever} from '#core';
import type {CurrentTime} from '#kernel';
import {idleReceiveTimeoutMilliseconds, probeIntervalMilliseconds, receiveTimeoutMilliseconds} from '#protocol';

/** Traffic received from the peer and calls that it has not answered yet. */
export type LivenessState = Readonly<{
	lastReceivedAt: MonotonicTime;
	lastProbedAt: MonotonicTime;
	/** Number of unanswered calls. */
	pending: number;
	/** Time at which the number of unanswered calls last rose from zero. */
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

/** Decides when a connection is probed and when it is considered dead. TCP alone does not report a peer that disappeared behind a middlebox. */
export function receiveLivenessMessage(state: LivenessState, message: LivenessMessage, {monotonic}: CurrentTime): Step<LivenessState, LivenessEffect> {
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
	const hasPendingCalls = state.pending > 0;
	const silentSince = hasPendingCalls ? Math.max(state.lastReceivedAt, state.pendingSince) : state.lastReceivedAt;
	const timeout = hasPendingCalls ? receiveTimeoutMilliseconds : idleReceiveTimeoutMilliseconds;
	const silence = monotonic - silentSince;
	if (silence >= timeout) {
		return {state: {...state, isClosed: true}, effects: [{kind: 'terminate', reason: `no traffic for ${timeout} ms`}]};
	}

	const isProbeDue = hasPendingCalls && silence >= probeIntervalMilliseconds && monotonic - state.lastProbedAt >= probeIntervalMilliseconds;
	return isProbeDue
		? {state: {...state, lastProbedAt: monotonic}, effects: [{kind: 'send-probe'}, {kind: 'schedule-tick'}]}
		: {state, effects: [{kind: 'schedule-tick'}]};
}
