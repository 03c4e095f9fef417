/** The calls that extend leases, and what their answers tell. */
import type {MonotonicTime} from '#core';
import {isSameIncarnation} from '#jobs';
import {holdRetryMilliseconds, holdWaitMilliseconds, unnotedEndPauseMilliseconds} from './constants.js';
import {chooseDeadline, noDeadline} from './deadlines.js';
import {changed, type SupervisionOptions, type SupervisionStep} from './state.js';
import type {
	HoldOrder, SupervisedWorker, SupervisionMessage, SupervisionState,
} from './types.js';

type HeldAnswer = Pick<Extract<SupervisionMessage, {kind: 'held'}>, 'order' | 'result'>;

/** One call that does not wait, besides the loop. */
export function holdNow(state: SupervisionState, monotonic: MonotonicTime, options: SupervisionOptions): SupervisionStep {
	const order = chooseHold(state, monotonic, options);
	return order === undefined ? {state, effects: []} : {state: noteLease(state, order.leaseUntil), effects: [{kind: 'hold', order: {...order, wait: 0, isLoop: false}}]};
}

function chooseHold(state: SupervisionState, monotonic: MonotonicTime, options: SupervisionOptions): HoldOrder | undefined {
	const {worker, epoch} = state;
	return worker === undefined || epoch === 0
		? undefined
		: {
			worker: worker.announcement.worker,
			incarnation: worker.announcement.incarnation,
			epoch,
			// A call without an answer may have been carried out, so that a lease which is asked for again and again never ends for certain.
			...(worker.isResponsive ? chooseDeadline(state, monotonic, options) : noDeadline),
			notedEnd: worker.notedEnd,
			wait: holdWaitMilliseconds,
			isLoop: true,
		};
}

export function startHolding(state: SupervisionState, monotonic: MonotonicTime, options: SupervisionOptions): SupervisionStep {
	if (state.isHolding) {
		return {state, effects: []};
	}

	const order = chooseHold(state, monotonic, options);
	return order === undefined
		? {state: {...state, isHolding: true}, effects: [{kind: 'schedule-hold', delay: holdRetryMilliseconds}]}
		: {state: {...noteLease(state, order.leaseUntil), isHolding: true}, effects: [{kind: 'hold', order}]};
}

export function noteLease(state: SupervisionState, leaseUntil: MonotonicTime): SupervisionState {
	return state.worker === undefined ? state : {...state, worker: {...state.worker, leaseUntil: Math.max(state.worker.leaseUntil, leaseUntil)}};
}

export function handleHeld(state: SupervisionState, {order, result}: Extract<SupervisionMessage, {kind: 'held'}>, monotonic: MonotonicTime, options: SupervisionOptions): SupervisionStep {
	const {worker} = state;
	const seen = worker !== undefined && isSameIncarnation(worker.announcement, order) ? applyHold(state, worker, {order, result}, monotonic) : {state, effects: []};
	if (!order.isLoop) {
		return seen;
	}

	const next = {...seen.state, isHolding: false};
	if (result.kind !== 'held') {
		return {state: {...next, isHolding: true}, effects: [...seen.effects, {kind: 'schedule-hold', delay: holdRetryMilliseconds}]};
	}

	// The worker answers at once while it lists ends, so that the next call waits here; the acknowledgement brings a call of its own.
	if (next.worker !== undefined && next.worker.ended.length > 0) {
		return {state: {...next, isHolding: true}, effects: [...seen.effects, {kind: 'schedule-hold', delay: unnotedEndPauseMilliseconds}]};
	}

	const following = startHolding(next, monotonic, options);
	return {state: following.state, effects: [...seen.effects, ...following.effects]};
}

function applyHold(state: SupervisionState, worker: SupervisedWorker, {order, result}: HeldAnswer, monotonic: MonotonicTime): SupervisionStep {
	switch (result.kind) {
		case 'failed':
		case 'refused': {
			return worker.isResponsive
				? {
					state: changed({...state, worker: {...worker, isResponsive: false}}),
					effects: [{kind: 'renew'}, {kind: 'log', event: 'worker-lost', fields: {worker: order.worker, reason: result.message}}],
				}
				: {state, effects: []};
		}

		case 'held': {
			return result.incarnation !== undefined && result.incarnation !== order.incarnation
				? {state, effects: [{kind: 'log', event: 'other-incarnation', fields: {worker: order.worker, expected: order.incarnation, found: result.incarnation}}]}
				: applyLists(state, worker, {order, result}, monotonic);
		}
	}
}

type Held = Readonly<{order: HoldOrder; result: Extract<Extract<SupervisionMessage, {kind: 'held'}>['result'], {kind: 'held'}>}>;

/** Answers on different connections may overtake each other; the worker's clock orders them. A list of the same millisecond as a start may be from before it. */
function applyLists(state: SupervisionState, worker: SupervisedWorker, {order, result}: Held, monotonic: MonotonicTime): SupervisionStep {
	if (result.clock <= worker.startedClock || (worker.clock !== undefined && result.clock < worker.clock.worker)) {
		return {state, effects: []};
	}

	const ended = result.ended.filter(({number}) => number > worker.notedEnd);
	const hasEnds = ended.some(({number}) => worker.ended.every(known => known.number !== number));
	const hasOtherRuns = result.running.length !== worker.running.length
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
	const isNews = hasEnds || hasOtherRuns || isFenced || !worker.isResponsive;
	return isNews ? {state: changed(next), effects: [{kind: 'renew'}]} : {state: next, effects: []};
}
