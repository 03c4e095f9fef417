import type {MonotonicTime, RefusalReason} from '#core';
import {
	isEnded, isHolding, putFence, putGang, readFence, reply, taskOf, type ReservationStep,
} from './state.js';
import type {
	GangRecord, MemberRecord, MemberState, EndNotification, ReservationAnswer, ReservationEffect, ReservationState,
} from './types.js';

/** Reasons for which no notification is sent, because the sender of the stop or of the higher attempt learns the end from the reply. */
const requestedEndReasons: ReadonlySet<RefusalReason> = new Set(['withdrawn', 'stale-attempt']);

function createNotification(reason: RefusalReason | 'finished', lastSentAt: MonotonicTime): EndNotification {
	return reason !== 'finished' && requestedEndReasons.has(reason) ? {kind: 'none'} : {kind: 'pending', lastSentAt};
}

/** Ends one member and, if it was the last one, the gang. */
export function endMember(state: ReservationState, gang: GangRecord, ended: Readonly<{member: number; state: MemberState}>, monotonic: MonotonicTime): ReservationStep {
	const reason = ended.state.kind === 'stopped' ? ended.state.reason : 'finished';
	const notification = createNotification(reason, monotonic);
	const members = gang.members.map(member => member.member === ended.member ? {...member, state: ended.state, notification} : member);
	const effects: ReservationEffect[] = notification.kind === 'pending'
		? [{
			kind: 'notify-ended', job: gang.job, attempt: gang.attempt, member: ended.member, state: ended.state,
		}]
		: [];
	if (members.some(isHolding)) {
		return {state: putGang(state, {...gang, members}), effects};
	}

	const next: GangRecord = {
		...gang, members, phase: {kind: 'ended', reason, endedAt: monotonic}, pendingReplyIds: [],
	};
	const fenced = putFence(state, gang.job, {...readFence(state, gang.job), retentionStartsAt: monotonic});
	// A stop is answered only when every attempt of the job has ended.
	const otherAttempt = [...state.gangs.values()].find(other => other.job === gang.job && other.attempt !== gang.attempt && !isEnded(other));
	return otherAttempt === undefined
		? {state: putGang(fenced, next), effects: [...effects, ...gang.pendingReplyIds.map(replyId => reply(replyId, describeEnd(next)))]}
		: {state: putGang(putGang(fenced, next), {...otherAttempt, pendingReplyIds: [...otherAttempt.pendingReplyIds, ...gang.pendingReplyIds]}), effects};
}

/** Ends a gang: immediately if it has not started, otherwise by stopping its tasks. */
export function endGang(state: ReservationState, gang: GangRecord, reason: RefusalReason, monotonic: MonotonicTime): ReservationStep {
	switch (gang.phase.kind) {
		case 'reclaiming':
		case 'reserved':
		case 'committed': {
			return endUnstarted(state, gang, reason, monotonic);
		}

		case 'started':
		case 'evicting': {
			return {
				state: putGang(state, {...gang, phase: {kind: 'stopping', reason, lastRequestedAt: monotonic}}),
				effects: stopTasks(gang),
			};
		}

		case 'stopping':
		case 'ended': {
			return {state, effects: []};
		}
	}
}

function endUnstarted(state: ReservationState, gang: GangRecord, reason: RefusalReason, monotonic: MonotonicTime): ReservationStep {
	const effects: ReservationEffect[] = [];
	let next = state;
	for (const {member} of gang.members) {
		const current = next.gangs.get(`${gang.job}/${gang.attempt}`) ?? gang;
		const step = endMember(next, current, {member, state: {kind: 'stopped', started: false, reason}}, monotonic);
		next = step.state;
		effects.push(...step.effects);
	}

	return {state: next, effects};
}

export function stopTasks(gang: GangRecord): readonly ReservationEffect[] {
	return gang.members.filter(isRunning).map(member => ({kind: 'stop-task', task: taskOf(gang, member)}));
}

export function isRunning(member: MemberRecord): boolean {
	return member.state.kind === 'running';
}

/** Requests a checkpoint from every running member. The members are stopped when the grace period ends. */
export function evictGang(state: ReservationState, gang: GangRecord, reason: RefusalReason, monotonic: MonotonicTime): ReservationStep {
	if (gang.phase.kind === 'evicting') {
		return {state, effects: []};
	}

	if (gang.phase.kind !== 'started') {
		return endGang(state, gang, reason, monotonic);
	}

	const phase = {kind: 'evicting', reason, stopAt: monotonic + state.graceMilliseconds} as const;
	return {
		state: putGang(state, {...gang, phase}),
		effects: gang.members.filter(isRunning).map(member => ({kind: 'checkpoint-task', task: taskOf(gang, member)})),
	};
}

/** Answers a stop of a gang that has ended. */
export function describeEnd(gang: GangRecord): ReservationAnswer {
	if (isEnded(gang) && gang.members.every(({state}) => state.kind === 'finished')) {
		return {kind: 'finished'};
	}

	const checkpoints = Object.fromEntries(gang.members.filter(({checkpoint}) => checkpoint !== undefined).map(({member, checkpoint}) => [member, checkpoint]));
	return {kind: 'stopped', checkpoints};
}
