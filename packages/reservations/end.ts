import type {MonotonicTime, RefusalReason} from '#core';
import {
	isEnded, isHolding, putGang, reply, taskOf, type ReservationStep,
} from './state.js';
import type {
	GangRecord, MemberRecord, MemberState, EndNotification, ReservationAnswer, ReservationEffect, ReservationState,
} from './types.js';

/** The sender of a stop or of a higher attempt learns the end from the answer, so these ends are not told again. */
const askedReasons: ReadonlySet<RefusalReason> = new Set(['withdrawn', 'stale-attempt']);

function noticeOf(reason: RefusalReason | 'finished', toldAt: MonotonicTime): EndNotification {
	return reason !== 'finished' && askedReasons.has(reason) ? {kind: 'none'} : {kind: 'pending', lastSentAt: toldAt};
}

/** Ends one member and, if it was the last one, the gang. */
export function endMember(state: ReservationState, gang: GangRecord, ended: Readonly<{member: number; state: MemberState}>, monotonic: MonotonicTime): ReservationStep {
	const reason = ended.state.kind === 'stopped' ? ended.state.reason : 'finished';
	const notice = noticeOf(reason, monotonic);
	const members = gang.members.map(member => member.member === ended.member ? {...member, state: ended.state, notification: notice} : member);
	const effects: ReservationEffect[] = notice.kind === 'pending'
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
	// A caller that stops a job waits for every attempt of it.
	const left = [...state.gangs.values()].find(other => other.job === gang.job && other.attempt !== gang.attempt && !isEnded(other));
	return left === undefined
		? {state: putGang(state, next), effects: [...effects, ...gang.pendingReplyIds.map(replyId => reply(replyId, describeEnd(next)))]}
		: {state: putGang(putGang(state, next), {...left, pendingReplyIds: [...left.pendingReplyIds, ...gang.pendingReplyIds]}), effects};
}

/** Ends a gang: at once if it has not started, else by stopping its tasks. */
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

/** Asks the members to checkpoint and stops them when the grace ends. */
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

/** The answer to a stop of a gang that has ended. */
export function describeEnd(gang: GangRecord): ReservationAnswer {
	if (isEnded(gang) && gang.members.every(({state}) => state.kind === 'finished')) {
		return {kind: 'finished'};
	}

	const checkpoints = Object.fromEntries(gang.members.filter(({checkpoint}) => checkpoint !== undefined).map(({member, checkpoint}) => [member, checkpoint]));
	return {kind: 'stopped', checkpoints};
}
