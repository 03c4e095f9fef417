import {
	assertNever, type MonotonicTime, type RefusalReason,
} from '#core';
import {
	endedRetentionMilliseconds, fenceRetentionMilliseconds, notificationRetryMilliseconds, reservationTickMilliseconds, stopRetryMilliseconds,
} from './constants.js';
import {endGang, evictGang, stopTasks} from './end.js';
import {promoteReservations, reserveGang} from './reserve.js';
import {commitGang, renewGangs, startGang} from './start.js';
import {putGang, type ReservationStep} from './state.js';
import {findJob, stopGang} from './stop.js';
import {
	finishTask, recordCheckpoint, recordStoppedTask, stopLostTask,
} from './tasks.js';
import type {
	GangRecord, ReservationEffect, ReservationMessage, ReservationState, TaskReference,
} from './types.js';

/**
Applies one message to the reservations of an agent's accelerators.

Expired leases are ended before the message is applied, so that a process that was paused beyond its lease can neither start nor finish a task under it.
*/
export function receiveReservationMessage(state: ReservationState, message: ReservationMessage, {monotonic}: Readonly<{monotonic: MonotonicTime}>): ReservationStep {
	const expired = endExpired(state, monotonic);
	const step = applyMessage(promoteReservations(expired.state), message, monotonic);
	return {state: promoteReservations(step.state), effects: [...expired.effects, ...step.effects]};
}

function applyMessage(state: ReservationState, message: ReservationMessage, monotonic: MonotonicTime): ReservationStep {
	switch (message.kind) {
		case 'reserve': {
			return reserveGang(state, message, monotonic);
		}

		case 'commit': {
			return commitGang(state, message, monotonic);
		}

		case 'start': {
			return startGang(state, message, monotonic);
		}

		case 'renew': {
			return renewGangs(state, message, monotonic);
		}

		case 'stop': {
			return stopGang(state, message, monotonic);
		}

		case 'find': {
			return findJob(state, message);
		}

		case 'slice-received': {
			const {cells, layoutRevision} = message;
			return {state: layoutRevision < state.layoutRevision ? state : {...state, cells, layoutRevision}, effects: []};
		}

		case 'task-finished': {
			return finishTask(state, message, monotonic);
		}

		case 'task-stopped': {
			return recordStoppedTask(state, message, monotonic);
		}

		case 'task-lost': {
			return stopLostTask(state, message, monotonic);
		}

		case 'task-checkpointed': {
			return recordCheckpoint(state, message, monotonic);
		}

		case 'ended-acknowledged': {
			return acknowledgeEnd(state, message);
		}

		case 'worker-cleared': {
			return {state: {...state, acceptsFrom: Math.min(state.acceptsFrom, monotonic)}, effects: []};
		}

		case 'drain': {
			return evictAll({...state, isDraining: true}, monotonic);
		}

		case 'tick': {
			return repeatOverdue(deleteOldRecords(state, monotonic), monotonic);
		}

		default: {
			return assertNever(message);
		}
	}
}

function endExpired(state: ReservationState, monotonic: MonotonicTime): ReservationStep {
	const effects: ReservationEffect[] = [];
	let next = state;
	for (const gang of state.gangs.values()) {
		const reason = findExpiryReason(gang, monotonic);
		if (reason !== undefined) {
			const step = endGang(next, gang, reason, monotonic);
			next = step.state;
			effects.push(...step.effects);
		}
	}

	return {state: next, effects};
}

/** Evicts every gang because the worker is leaving. Each may checkpoint within the grace period, and its owner is notified. */
function evictAll(state: ReservationState, monotonic: MonotonicTime): ReservationStep {
	const effects: ReservationEffect[] = [];
	let next = state;
	for (const gang of state.gangs.values()) {
		const step = evictGang(next, gang, 'draining', monotonic);
		next = step.state;
		effects.push(...step.effects);
	}

	return {state: next, effects};
}

function findExpiryReason({phase}: GangRecord, monotonic: MonotonicTime): RefusalReason | undefined {
	switch (phase.kind) {
		case 'reclaiming':
		case 'reserved':
		case 'committed':
		case 'started': {
			return phase.leaseEndsAt <= monotonic ? 'lease-lapsed' : undefined;
		}

		case 'evicting': {
			return phase.stopAt <= monotonic ? phase.reason : undefined;
		}

		case 'stopping':
		case 'ended': {
			return undefined;
		}
	}
}

function acknowledgeEnd(state: ReservationState, {job, attempt, member}: TaskReference): ReservationStep {
	const gang = state.gangs.get(`${job}/${attempt}`);
	if (gang === undefined) {
		return {state, effects: []};
	}

	const members = gang.members.map(record => record.member === member ? {...record, notification: {kind: 'none'} as const} : record);
	return {state: putGang(state, {...gang, members}), effects: []};
}

function deleteOldRecords(state: ReservationState, monotonic: MonotonicTime): ReservationState {
	const gangs = [...state.gangs].filter(([, {phase}]) => phase.kind !== 'ended' || phase.endedAt + endedRetentionMilliseconds > monotonic);
	const retainedJobs = new Set(gangs.map(([, gang]) => gang.job));
	const fences = [...state.fences].filter(([job, {retentionStartsAt}]) => retainedJobs.has(job) || retentionStartsAt + fenceRetentionMilliseconds > monotonic);
	return gangs.length === state.gangs.size && fences.length === state.fences.size
		? state
		: {...state, gangs: new Map(gangs), fences: new Map(fences)};
}

/** Resends stops that the worker has not confirmed and notifications that no entry has acknowledged. */
function repeatOverdue(state: ReservationState, monotonic: MonotonicTime): ReservationStep {
	const effects: ReservationEffect[] = [];
	let next = state;
	for (const gang of state.gangs.values()) {
		const {phase} = gang;
		const isStopOverdue = phase.kind === 'stopping' && phase.lastRequestedAt + stopRetryMilliseconds <= monotonic;
		const overdueMembers = new Set(gang.members.filter(({notification}) => notification.kind === 'pending' && notification.lastSentAt + notificationRetryMilliseconds <= monotonic));
		if (!isStopOverdue && overdueMembers.size === 0) {
			continue;
		}

		effects.push(
			...(isStopOverdue ? stopTasks(gang) : []),
			...[...overdueMembers].map(({member, state: memberState}) => ({
				kind: 'notify-ended', job: gang.job, attempt: gang.attempt, member, state: memberState,
			}) as const),
		);
		next = putGang(next, {
			...gang,
			phase: isStopOverdue ? {...phase, lastRequestedAt: monotonic} : phase,
			members: gang.members.map(member => overdueMembers.has(member) ? {...member, notification: {kind: 'pending', lastSentAt: monotonic}} : member),
		});
	}

	return {state: next, effects: [...effects, {kind: 'schedule-tick', delay: reservationTickMilliseconds}]};
}
