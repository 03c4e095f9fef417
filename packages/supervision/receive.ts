import {
	assertNever, type Milliseconds, type MonotonicTime, type Present, type Step,
} from '#core';
import {isSameLife, type WorkerSnapshot} from '#jobs';
import {
	holdRetryMilliseconds, holdWaitMilliseconds, leaseSlackMilliseconds, slowClockShare, suspensionMilliseconds,
} from './constants.js';
import type {
	Announcement, HoldOrder, SupervisedWorker, SupervisionEffect, SupervisionMessage, SupervisionState,
} from './types.js';

type HeldAnswer = Pick<Extract<SupervisionMessage, {kind: 'held'}>, 'order' | 'result'>;
type SupervisionStep = Step<SupervisionState, SupervisionEffect>;

export type SupervisionOptions = Readonly<{
	/** Longest lease that the worker grants. */
	maximumHoldMilliseconds: Milliseconds;
}>;

export const initialSupervisionState: SupervisionState = {
	worker: undefined, epoch: 0, grantUntil: 0, clockOffset: undefined, revision: 0, isHolding: false, isStopped: false,
};

/** Decides when leases are extended, which scheduler is obeyed, and what is reported. */
export function receiveSupervisionMessage(state: SupervisionState, message: SupervisionMessage, present: Present, options: SupervisionOptions): SupervisionStep {
	return state.isStopped ? {state, effects: []} : handleMessage(noteClocks(state, present), message, present.monotonic, options);
}

/**
A grant may have ended while the machine was suspended, since its steady clock did not count that time. The next renewal brings another one.

A time of day that is set forward looks the same and costs one renewal.
*/
function noteClocks(state: SupervisionState, {now, monotonic}: Present): SupervisionState {
	const clockOffset = now - monotonic;
	const isSuspended = state.clockOffset !== undefined && clockOffset - state.clockOffset > suspensionMilliseconds;
	return {...state, clockOffset, grantUntil: isSuspended ? 0 : state.grantUntil};
}

function handleMessage(state: SupervisionState, message: SupervisionMessage, monotonic: MonotonicTime, options: SupervisionOptions): SupervisionStep {
	switch (message.kind) {
		case 'announced': {
			return handleAnnouncement(state, message.announcement, monotonic);
		}

		case 'departed': {
			return state.worker?.announcement.worker === message.worker ? depart(state, state.worker) : {state, effects: []};
		}

		case 'granted': {
			return handleGrant(state, message, monotonic, options);
		}

		case 'epoch-raised': {
			return raiseEpoch(state, message.epoch, monotonic, options);
		}

		case 'held': {
			return handleHeld(state, message, monotonic, options);
		}

		case 'hold-due': {
			return startHolding({...state, isHolding: false}, monotonic, options);
		}

		case 'started': {
			return handleStarted(state, message, monotonic);
		}

		case 'stop': {
			return {state: {...state, isStopped: true}, effects: []};
		}

		default: {
			return assertNever(message);
		}
	}
}

/** Estimates the worker's clock. The reading is as old as its answer's way, so the estimate is never ahead. */
export function estimateWorkerClock({clock}: SupervisedWorker, monotonic: MonotonicTime): Milliseconds | undefined {
	return clock === undefined ? undefined : clock.worker + ((monotonic - clock.monotonic) * (1 - slowClockShare));
}

/** A time on the worker's clock, undefined if no lease may be given, and the same time on the agent's own. */
type Deadline = Readonly<{deadline: Milliseconds | undefined; leaseUntil: MonotonicTime}>;

/** Time on the worker's clock until which leases may last now, and the same on the agent's own. */
export function chooseDeadline(state: SupervisionState, monotonic: MonotonicTime, {maximumHoldMilliseconds}: SupervisionOptions): Deadline {
	const {worker, grantUntil} = state;
	const workerClock = worker === undefined ? undefined : estimateWorkerClock(worker, monotonic);
	const remaining = Math.min(grantUntil - monotonic, maximumHoldMilliseconds);
	return workerClock === undefined || remaining <= 0
		? {deadline: undefined, leaseUntil: 0}
		: {deadline: Math.floor(workerClock + remaining), leaseUntil: monotonic + remaining};
}

/** Describes the worker for the scheduler of an epoch; undefined until the worker has answered with that epoch. */
export function describeWorker({worker, epoch}: SupervisionState, monotonic: MonotonicTime): WorkerSnapshot | undefined {
	if (worker === undefined || worker.fencedEpoch < epoch) {
		return undefined;
	}

	const {announcement, leavesAt, running, ended, isResponsive, leaseUntil} = worker;
	return {
		worker: announcement.worker,
		incarnation: announcement.incarnation,
		service: announcement.service,
		zone: announcement.zone,
		labels: announcement.labels,
		rack: announcement.rack,
		capacity: announcement.capacity,
		state: announcement.state,
		...(leavesAt === undefined ? {} : {leavesInMilliseconds: Math.max(0, Math.round(leavesAt - monotonic))}),
		isResponsive,
		isLeaseOver: !isResponsive && isLeaseOver(leaseUntil, monotonic),
		running,
		ended,
	};
}

function isLeaseOver(leaseUntil: MonotonicTime, monotonic: MonotonicTime): boolean {
	return monotonic > leaseUntil + leaseSlackMilliseconds + (Math.max(0, monotonic - leaseUntil) * slowClockShare);
}

function changed(state: SupervisionState): SupervisionState {
	return {...state, revision: state.revision + 1};
}

/** A delayed announcement of an earlier life, or an older one of this life, changes nothing. */
function handleAnnouncement(state: SupervisionState, announcement: Announcement, monotonic: MonotonicTime): SupervisionStep {
	const {worker} = state;
	const isKnown = isSameLife(worker?.announcement, announcement);
	if (worker !== undefined && !isKnown && announcement.startedAt < worker.announcement.startedAt) {
		return {state, effects: []};
	}

	const leavesAt = announcement.leavesInMilliseconds === undefined ? undefined : monotonic + announcement.leavesInMilliseconds;
	if (worker !== undefined && isKnown) {
		if (announcement.sequence <= worker.announcement.sequence) {
			return {state, effects: []};
		}

		const isNews = announcement.state !== worker.announcement.state;
		const next = {...state, worker: {...worker, announcement, leavesAt}};
		return isNews
			? {state: changed(next), effects: [{kind: 'renew'}, {kind: 'log', event: 'worker-state-changed', fields: {worker: announcement.worker, state: announcement.state}}]}
			: {state: next, effects: []};
	}

	const next: SupervisionState = {
		...state,
		worker: {
			announcement,
			leavesAt,
			clock: announcement.clock === undefined ? undefined : {worker: announcement.clock, monotonic},
			running: [],
			ended: [],
			isResponsive: true,
			leaseUntil: 0,
			notedEnd: 0,
			fencedEpoch: 0,
		},
	};
	return {
		state: changed(next),
		effects: [
			{kind: 'log', event: 'worker-announced', fields: {worker: announcement.worker, incarnation: announcement.incarnation}},
			{kind: 'renew'},
			...(state.isHolding ? [] : [{kind: 'schedule-hold', delay: 0} as const]),
		],
	};
}

function depart(state: SupervisionState, {announcement: {worker, incarnation}}: SupervisedWorker): SupervisionStep {
	return {
		state: changed({...state, worker: undefined}),
		effects: [{kind: 'say-left', worker, incarnation}, {kind: 'log', event: 'worker-left', fields: {worker, incarnation}}],
	};
}

function handleGrant(state: SupervisionState, message: Extract<SupervisionMessage, {kind: 'granted'}>, monotonic: MonotonicTime, options: SupervisionOptions): SupervisionStep {
	if (message.epoch < state.epoch) {
		return {state, effects: []};
	}

	const {worker} = state;
	const isAcknowledged = worker !== undefined && worker.announcement.incarnation === message.incarnation;
	const granted: SupervisionState = {
		...state,
		grantUntil: Math.max(state.grantUntil, message.askedAt + message.validity),
		worker: worker !== undefined && isAcknowledged ? {...worker, notedEnd: Math.max(worker.notedEnd, message.notedEnd)} : worker,
	};
	const raised = raiseEpoch(granted, message.epoch, monotonic, options);
	const hasNews = worker !== undefined && isAcknowledged && message.notedEnd > worker.notedEnd && raised.effects.length === 0;
	return hasNews ? {state: raised.state, effects: holdNow(raised.state, monotonic, options)} : raised;
}

/** The worker is told a new epoch at once, so that late orders of earlier schedulers fail. */
function raiseEpoch(state: SupervisionState, epoch: number, monotonic: MonotonicTime, options: SupervisionOptions): SupervisionStep {
	if (epoch <= state.epoch) {
		return {state, effects: []};
	}

	const next = changed({...state, epoch});
	return {
		state: next,
		effects: [{kind: 'log', event: 'epoch-raised', fields: {epoch, earlier: state.epoch}}, ...holdNow(next, monotonic, options)],
	};
}

/** One call that does not wait, besides the loop. */
function holdNow(state: SupervisionState, monotonic: MonotonicTime, options: SupervisionOptions): readonly SupervisionEffect[] {
	const order = chooseHold(state, monotonic, options);
	return order === undefined ? [] : [{kind: 'hold', order: {...order, wait: 0, isLoop: false}}];
}

function chooseHold(state: SupervisionState, monotonic: MonotonicTime, options: SupervisionOptions): HoldOrder | undefined {
	const {worker, epoch} = state;
	return worker === undefined || epoch === 0
		? undefined
		: {
			worker: worker.announcement.worker,
			incarnation: worker.announcement.incarnation,
			epoch,
			...chooseDeadline(state, monotonic, options),
			notedEnd: worker.notedEnd,
			wait: holdWaitMilliseconds,
			isLoop: true,
		};
}

function startHolding(state: SupervisionState, monotonic: MonotonicTime, options: SupervisionOptions): SupervisionStep {
	if (state.isHolding) {
		return {state, effects: []};
	}

	const order = chooseHold(state, monotonic, options);
	return order === undefined
		? {state: {...state, isHolding: true}, effects: [{kind: 'schedule-hold', delay: holdRetryMilliseconds}]}
		: {state: {...noteLease(state, order.leaseUntil), isHolding: true}, effects: [{kind: 'hold', order}]};
}

function noteLease(state: SupervisionState, leaseUntil: MonotonicTime): SupervisionState {
	return state.worker === undefined ? state : {...state, worker: {...state.worker, leaseUntil: Math.max(state.worker.leaseUntil, leaseUntil)}};
}

function handleHeld(state: SupervisionState, {order, result}: Extract<SupervisionMessage, {kind: 'held'}>, monotonic: MonotonicTime, options: SupervisionOptions): SupervisionStep {
	const {worker} = state;
	const seen = worker !== undefined && isSameLife(worker.announcement, order) ? applyHold(state, worker, {order, result}, monotonic) : {state, effects: []};
	if (!order.isLoop) {
		return seen;
	}

	const next = {...seen.state, isHolding: false};
	if (result.kind !== 'held') {
		return {state: {...next, isHolding: true}, effects: [...seen.effects, {kind: 'schedule-hold', delay: holdRetryMilliseconds}]};
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

/** Answers on different connections may overtake each other; the worker's clock orders them. */
function applyLists(state: SupervisionState, worker: SupervisedWorker, {order, result}: Held, monotonic: MonotonicTime): SupervisionStep {
	if (worker.clock !== undefined && result.clock < worker.clock.worker) {
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

/** A run that was started is listed before the worker's next list, so that no report misses it. */
function handleStarted(state: SupervisionState, {incarnation, task, run, clock, leaseUntil}: Extract<SupervisionMessage, {kind: 'started'}>, monotonic: MonotonicTime): SupervisionStep {
	const {worker} = state;
	if (worker?.announcement.incarnation !== incarnation) {
		return {state, effects: []};
	}

	const isListed = worker.running.some(row => row.task === task && row.run === run) || worker.ended.some(row => row.task === task && row.run >= run);
	return {
		state: changed({
			...state,
			worker: {
				...worker,
				clock: clock !== undefined && (worker.clock === undefined || clock >= worker.clock.worker) ? {worker: clock, monotonic} : worker.clock,
				leaseUntil: Math.max(worker.leaseUntil, leaseUntil),
				running: isListed
					? worker.running
					: [...worker.running, {
						task, run, checkpoint: '', percent: 0,
					}],
			},
		}),
		effects: [],
	};
}
