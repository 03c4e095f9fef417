/** Extends the leases of the worker's runs and applies the run lists in the answers. */
import type {MonotonicTime} from '#core';
import {isSameIncarnation} from '#jobs';
import {extensionRetryMilliseconds, extensionWaitMilliseconds, unacknowledgedEndPauseMilliseconds} from './constants.js';
import {computeLeaseDeadline, noDeadline} from './deadlines.js';
import {incrementRevision, type SupervisionOptions, type SupervisionStep} from './state.js';
import type {
	LeaseExtension, SupervisedWorker, SupervisionMessage, SupervisionState,
} from './types.js';

type ExtensionAnswer = Pick<Extract<SupervisionMessage, {kind: 'extension-answered'}>, 'order' | 'result'>;

/** Extends the leases with one call that does not wait, in addition to the recurring ones. */
export function extendLeasesNow(state: SupervisionState, monotonic: MonotonicTime, options: SupervisionOptions): SupervisionStep {
	const order = createExtension(state, monotonic, options);
	return order === undefined ? {state, effects: []} : {state: recordLease(state, order.leaseUntil), effects: [{kind: 'extend-leases', order: {...order, wait: 0, isRecurring: false}}]};
}

function createExtension(state: SupervisionState, monotonic: MonotonicTime, options: SupervisionOptions): LeaseExtension | undefined {
	const {worker, epoch} = state;
	return worker === undefined || epoch === 0
		? undefined
		: {
			worker: worker.announcement.worker,
			incarnation: worker.announcement.incarnation,
			epoch,
			// A call without an answer may still have been applied. While the worker is unresponsive, requesting more would keep the lease from ever expiring for certain.
			...(worker.isResponsive ? computeLeaseDeadline(state, monotonic, options) : noDeadline),
			notedEnd: worker.notedEnd,
			wait: extensionWaitMilliseconds,
			isRecurring: true,
		};
}

export function startExtending(state: SupervisionState, monotonic: MonotonicTime, options: SupervisionOptions): SupervisionStep {
	if (state.isExtending) {
		return {state, effects: []};
	}

	const order = createExtension(state, monotonic, options);
	return order === undefined
		? {state: {...state, isExtending: true}, effects: [{kind: 'schedule-extension', delay: extensionRetryMilliseconds}]}
		: {state: {...recordLease(state, order.leaseUntil), isExtending: true}, effects: [{kind: 'extend-leases', order}]};
}

export function recordLease(state: SupervisionState, leaseUntil: MonotonicTime): SupervisionState {
	return state.worker === undefined ? state : {...state, worker: {...state.worker, leaseUntil: Math.max(state.worker.leaseUntil, leaseUntil)}};
}

export function handleExtensionResult(
	state: SupervisionState,
	{order, result}: Extract<SupervisionMessage, {kind: 'extension-answered'}>,
	monotonic: MonotonicTime,
	options: SupervisionOptions,
): SupervisionStep {
	const {worker} = state;
	const applied = worker !== undefined && isSameIncarnation(worker.announcement, order) ? applyExtensionResult(state, worker, {order, result}, monotonic) : {state, effects: []};
	if (!order.isRecurring) {
		return applied;
	}

	const next = {...applied.state, isExtending: false};
	if (result.kind !== 'answered') {
		return {state: {...next, isExtending: true}, effects: [...applied.effects, {kind: 'schedule-extension', delay: extensionRetryMilliseconds}]};
	}

	// While the worker lists ended runs, it answers without waiting, so the next call is delayed here. The acknowledgement triggers a call of its own.
	if (next.worker !== undefined && next.worker.ended.length > 0) {
		return {state: {...next, isExtending: true}, effects: [...applied.effects, {kind: 'schedule-extension', delay: unacknowledgedEndPauseMilliseconds}]};
	}

	const following = startExtending(next, monotonic, options);
	return {state: following.state, effects: [...applied.effects, ...following.effects]};
}

function applyExtensionResult(state: SupervisionState, worker: SupervisedWorker, {order, result}: ExtensionAnswer, monotonic: MonotonicTime): SupervisionStep {
	switch (result.kind) {
		case 'failed':
		case 'refused': {
			return worker.isResponsive
				? {
					state: incrementRevision({...state, worker: {...worker, isResponsive: false}}),
					effects: [{kind: 'renew'}, {kind: 'log', event: 'worker-lost', fields: {worker: order.worker, reason: result.message}}],
				}
				: {state, effects: []};
		}

		case 'answered': {
			return result.incarnation !== undefined && result.incarnation !== order.incarnation
				? {state, effects: [{kind: 'log', event: 'other-incarnation', fields: {worker: order.worker, expected: order.incarnation, found: result.incarnation}}]}
				: applyRunLists(state, worker, {order, result}, monotonic);
		}
	}
}

type SuccessfulExtension = Readonly<{order: LeaseExtension; result: Extract<Extract<SupervisionMessage, {kind: 'extension-answered'}>['result'], {kind: 'answered'}>}>;

/** Answers on different connections can arrive out of order; the worker's clock orders them. A list from the same millisecond as a start may predate the start. */
function applyRunLists(state: SupervisionState, worker: SupervisedWorker, {order, result}: SuccessfulExtension, monotonic: MonotonicTime): SupervisionStep {
	if (result.clock <= worker.latestStartClock || (worker.clock !== undefined && result.clock < worker.clock.worker)) {
		return {state, effects: []};
	}

	const ended = result.ended.filter(({number}) => number > worker.notedEnd);
	const hasNewEnds = ended.some(({number}) => worker.ended.every(known => known.number !== number));
	const haveRunsChanged = result.running.length !== worker.running.length
		|| result.running.some(({task, run}) => worker.running.every(known => known.task !== task || known.run !== run));
	const isFenced = order.epoch > worker.fencedEpoch;
	const next: SupervisionState = {
		...state,
		worker: {
			...worker,
			clock: {worker: result.clock, monotonic},
			running: result.running,
			ended,
			isResponsive: true,
			fencedEpoch: Math.max(worker.fencedEpoch, order.epoch),
		},
	};
	const hasChanged = hasNewEnds || haveRunsChanged || isFenced || !worker.isResponsive;
	return hasChanged ? {state: incrementRevision(next), effects: [{kind: 'renew'}]} : {state: next, effects: []};
}
