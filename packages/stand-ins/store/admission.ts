import type {MonotonicTime} from '#core';
import {rateLimitRetryMilliseconds} from './constants.js';
import {respond} from './respond.js';
import type {
	Bucket, Respond, StoreCall, StoreCallName, StoreEffect, StoreState,
} from './types.js';

/** Result of admission control for a call; a rejected call carries the effects that reply to it. */
export type Admission =
	| Readonly<{kind: 'admitted'; state: StoreState}>
	| Readonly<{kind: 'rejected'; state: StoreState; effects: readonly StoreEffect[]}>;

/** Counts a call and applies the switches for outage, hang and rate limits. A watch counts as one call, however long it waits. */
export function admitCall(state: StoreState, call: StoreCall, callback: Respond, monotonic: MonotonicTime): Admission {
	const counted = {...state, calls: new Map(state.calls).set(call.kind, (state.calls.get(call.kind) ?? 0) + 1)};
	if (state.switches.hang) {
		return reject(counted, []);
	}

	if (state.switches.outage) {
		return reject(counted, [respond(counted, callback, 503, {})]);
	}

	const bucketName = bucketFor(call.kind);
	const rate = bucketName === 'write' ? state.switches.writesPerSecond : state.switches.readsPerSecond;
	const bucket = refill(state.buckets[bucketName], rate, monotonic);
	if (rate > 0 && bucket.tokens < 1) {
		return reject({...counted, buckets: {...state.buckets, [bucketName]: bucket}}, [
			respond(counted, callback, 429, {retryAfterMilliseconds: rateLimitRetryMilliseconds}),
		]);
	}

	const consumed = {...bucket, tokens: Math.max(0, bucket.tokens - 1)};
	return {kind: 'admitted', state: {...counted, buckets: {...state.buckets, [bucketName]: consumed}}};
}

function reject(state: StoreState, effects: readonly StoreEffect[]): Admission {
	return {kind: 'rejected', state: {...state, refusedCalls: state.refusedCalls + 1}, effects};
}

function bucketFor(name: StoreCallName): 'read' | 'write' {
	return name === 'read' || name === 'list' || name === 'watch' ? 'read' : 'write';
}

function refill(bucket: Bucket, rate: number, monotonic: MonotonicTime): Bucket {
	const refilled = Math.max(0, monotonic - bucket.filledAt) * rate / 1000;
	return {tokens: Math.min(rate, bucket.tokens + refilled), filledAt: monotonic};
}
