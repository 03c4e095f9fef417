import type {MonotonicTime} from '#core';
import {decideConflicts, isBlocked} from './conflicts.js';
import {reclaimRetryMilliseconds} from './constants.js';
import {endGang, evictGang} from './end.js';
import {
	findGang, putFence, putGang, readFence, reply, type ReservationStep,
} from './state.js';
import type {
	GangRecord, ReservationEffect, ReservationState, ReserveMessage,
} from './types.js';

/** Reserves all members of a gang on this worker, or none. A repeated reservation of the same attempt extends its lease. */
export function reserveGang(state: ReservationState, message: ReserveMessage, monotonic: MonotonicTime): ReservationStep {
	const {job, attempt, replyId} = message;
	const fence = readFence(state, job);
	if (attempt < fence.attempt || (attempt === fence.attempt && fence.isClosed)) {
		return {state, effects: [reply(replyId, {kind: 'refused', reason: 'stale-attempt'})]};
	}

	const existing = findGang(state, message);
	if (existing !== undefined) {
		return answerReservation(state, existing, message, monotonic);
	}

	if (state.isDraining || monotonic < state.acceptsFrom) {
		return {state, effects: [reply(replyId, {kind: 'refused', reason: state.isDraining ? 'draining' : 'accelerators-busy'})]};
	}

	const raised = raiseAttempt(state, message, monotonic);
	const decision = decideConflicts(raised.state, message);
	if (decision.kind === 'refused') {
		return {state: raised.state, effects: [...raised.effects, reply(replyId, decision)]};
	}

	const effects: ReservationEffect[] = [...raised.effects];
	let next = raised.state;
	for (const holder of decision.displaced) {
		const step = endGang(next, holder, 'older-gang-waiting', monotonic);
		next = step.state;
		effects.push(...step.effects);
	}

	for (const holder of decision.evicted) {
		const step = evictGang(next, holder, 'cell-not-owned', monotonic);
		next = step.state;
		effects.push(...step.effects);
	}

	const gang = createGang(message, monotonic);
	next = putGang(next, gang);
	const answered = answerReservation(promoteReservations(next), gang, message, monotonic);
	return {state: answered.state, effects: [...effects, ...answered.effects]};
}

function createGang(message: ReserveMessage, monotonic: MonotonicTime): GangRecord {
	const {job, attempt, plan, submittedAt, preemptible, members, leaseMilliseconds} = message;
	return {
		job,
		attempt,
		taskAttempt: attempt,
		plan,
		submittedAt,
		preemptible,
		members: members.map(({member, accelerators}) => ({
			member, accelerators, state: {kind: 'reserved'}, startedAt: 0, notification: {kind: 'none'},
		})),
		phase: {kind: 'reclaiming', leaseEndsAt: monotonic + leaseMilliseconds},
		pendingReplyIds: [],
	};
}

/** Raises the fencing number of a job and ends its lower attempts on this worker. */
function raiseAttempt(state: ReservationState, {job, attempt}: Readonly<Pick<ReserveMessage, 'job' | 'attempt'>>, monotonic: MonotonicTime): ReservationStep {
	const fence = readFence(state, job);
	const isClosed = attempt === fence.attempt && fence.isClosed;
	const effects: ReservationEffect[] = [];
	let next = putFence(state, job, {
		...fence, attempt, isClosed, retentionStartsAt: monotonic,
	});
	for (const gang of state.gangs.values()) {
		if (gang.job === job && gang.attempt < attempt) {
			const step = endGang(next, gang, 'stale-attempt', monotonic);
			next = step.state;
			effects.push(...step.effects);
		}
	}

	return {state: next, effects};
}

function answerReservation(state: ReservationState, {job, attempt}: GangRecord, message: ReserveMessage, monotonic: MonotonicTime): ReservationStep {
	const gang = findGang(state, {job, attempt});
	const {replyId, leaseMilliseconds} = message;
	switch (gang?.phase.kind) {
		case 'reclaiming':
		case 'reserved': {
			const phase = {kind: gang.phase.kind, leaseEndsAt: monotonic + leaseMilliseconds} as const;
			const answer = phase.kind === 'reserved'
				? {kind: 'accepted'} as const
				: {kind: 'reclaiming', retryAfterMilliseconds: computeRetryDelay(state, monotonic)} as const;
			return {state: putGang(state, {...gang, phase}), effects: [reply(replyId, answer)]};
		}

		case 'committed':
		case 'started': {
			return {state, effects: [reply(replyId, {kind: 'accepted'})]};
		}

		case 'evicting':
		case 'stopping': {
			return {state, effects: [reply(replyId, {kind: 'refused', reason: gang.phase.reason})]};
		}

		case 'ended': {
			const reason = gang.phase.reason === 'finished' ? 'stale-attempt' : gang.phase.reason;
			return {state, effects: [reply(replyId, {kind: 'refused', reason})]};
		}

		case undefined: {
			return {state, effects: [reply(replyId, {kind: 'refused', reason: 'lease-lapsed'})]};
		}
	}
}

/** Time until the last borrower's grace period ends, plus a delay for the worker to confirm the stop. */
function computeRetryDelay(state: ReservationState, monotonic: MonotonicTime): number {
	const remainingGraces = [...state.gangs.values()].map(({phase}) => phase.kind === 'evicting' ? phase.stopAt - monotonic : 0);
	return Math.max(0, ...remainingGraces) + reclaimRetryMilliseconds;
}

/** Turns reclaiming gangs into reserved ones once nothing blocks them. */
export function promoteReservations(state: ReservationState): ReservationState {
	let next = state;
	for (const gang of state.gangs.values()) {
		if (gang.phase.kind === 'reclaiming' && !isBlocked(next, gang)) {
			next = putGang(next, {...gang, phase: {kind: 'reserved', leaseEndsAt: gang.phase.leaseEndsAt}});
		}
	}

	return next;
}
