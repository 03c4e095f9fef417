import {
	assertNever, type Milliseconds, type MonotonicTime, type RandomSource, type Step,
} from '#core';
import type {CurrentTime} from '#kernel';
import {computeBackoff} from './backoff.js';
import {leaseClockMarginFraction, leaseRenewalFraction, leaseRenewalJitterFraction} from './constants.js';
import type {LeaseReply} from './types.js';

/** A granted lease, the time at which its last confirmation was requested, and the time until which it is certainly valid in the store. */
export type HeldLease = Readonly<{lease: string; requestedAt: MonotonicTime; validUntil: MonotonicTime}>;

export type LeaseState = Readonly<{
	held: HeldLease | undefined;
	failures: number;
	isStopped: boolean;
}>;

export type LeaseMessage =
	| Readonly<{kind: 'due'}>
	/** `sentAt` is the monotonic time immediately before the call was sent. */
	| Readonly<{kind: 'replied'; reply: LeaseReply; sentAt: MonotonicTime}>
	| Readonly<{kind: 'stop'}>;

export type LeaseEffect =
	| Readonly<{kind: 'grant'; sentAt: MonotonicTime}>
	| Readonly<{kind: 'renew'; lease: string; sentAt: MonotonicTime}>
	| Readonly<{kind: 'revoke'; lease: string}>
	| Readonly<{kind: 'schedule'; delay: Milliseconds}>;

export type LeaseOptions = Readonly<{timeToLive: Milliseconds; random: RandomSource; maximumBackoff?: Milliseconds}>;

export const initialLeaseState: LeaseState = {held: undefined, failures: 0, isStopped: false};

/**
Returns the lease if it is certainly valid at the given time.

Validity is measured from before the call that granted or renewed the lease, so that even for a paused holder the lease lapses no later than in the store.
*/
export function getValidLease({held}: LeaseState, monotonic: MonotonicTime): HeldLease | undefined {
	return held !== undefined && monotonic < held.validUntil ? held : undefined;
}

/** Decides when a lease is requested, renewed and revoked. */
export function receiveLeaseMessage(state: LeaseState, message: LeaseMessage, {monotonic}: CurrentTime, options: LeaseOptions): Step<LeaseState, LeaseEffect> {
	switch (message.kind) {
		case 'due': {
			return state.isStopped ? {state, effects: []} : {state, effects: [createNextCall(state, monotonic)]};
		}

		case 'replied': {
			return handleReply(state, message, options);
		}

		case 'stop': {
			return {
				state: {...state, held: undefined, isStopped: true},
				effects: state.held === undefined ? [] : [{kind: 'revoke', lease: state.held.lease}],
			};
		}

		default: {
			return assertNever(message);
		}
	}
}

/** A lease that has lapsed by the local clock may still exist in the store, so it is renewed rather than replaced. */
function createNextCall({held}: LeaseState, sentAt: MonotonicTime): LeaseEffect {
	return held === undefined ? {kind: 'grant', sentAt} : {kind: 'renew', lease: held.lease, sentAt};
}

function handleReply(state: LeaseState, {reply, sentAt}: Extract<LeaseMessage, {kind: 'replied'}>, {timeToLive, random, maximumBackoff}: LeaseOptions): Step<LeaseState, LeaseEffect> {
	switch (reply.kind) {
		case 'granted': {
			if (state.isStopped) {
				return {state, effects: [{kind: 'revoke', lease: reply.lease}]};
			}

			const validUntil = sentAt + (timeToLive * (1 - leaseClockMarginFraction));
			const jitterFactor = 1 + (leaseRenewalJitterFraction * ((2 * random()) - 1));
			return {
				state: {...state, held: {lease: reply.lease, requestedAt: sentAt, validUntil}, failures: 0},
				effects: [{kind: 'schedule', delay: timeToLive * leaseRenewalFraction * jitterFactor}],
			};
		}

		case 'lease-unknown': {
			return scheduleRetry({...state, held: undefined}, {random, maximumBackoff, retryAfter: 0});
		}

		case 'unavailable': {
			return scheduleRetry(state, {random, maximumBackoff, retryAfter: reply.retryAfterMilliseconds});
		}

		default: {
			return assertNever(reply);
		}
	}
}

type RetryOptions = Readonly<{random: RandomSource; maximumBackoff: Milliseconds | undefined; retryAfter: Milliseconds | undefined}>;

function scheduleRetry(state: LeaseState, {random, maximumBackoff, retryAfter}: RetryOptions): Step<LeaseState, LeaseEffect> {
	if (state.isStopped) {
		return {state, effects: []};
	}

	const failures = state.failures + 1;
	return {state: {...state, failures}, effects: [{kind: 'schedule', delay: computeBackoff(failures, random, retryAfter, maximumBackoff)}]};
}
