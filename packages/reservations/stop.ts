import type {MonotonicTime} from '#core';
import {describeEnd, endGang, evictGang} from './end.js';
import {
	findGang, isEnded, putFence, putGang, readFence, reply, type ReservationStep,
} from './state.js';
import type {
	ReservationAnswer, ReservationEffect, ReservationMessage, ReservationState,
} from './types.js';

type StopMessage = Extract<ReservationMessage, {kind: 'stop'}>;

/** Ends an attempt permanently: a reservation of it that arrives later is refused. Replies once every task has stopped. */
export function stopGang(state: ReservationState, message: StopMessage, monotonic: MonotonicTime): ReservationStep {
	const {job, attempt, replyId} = message;
	if (attempt < readFence(state, job).attempt) {
		return {state, effects: [reply(replyId, describeEndFromFence(state, message))]};
	}

	const fence = readFence(state, job);
	const effects: ReservationEffect[] = [];
	let next = putFence(state, job, {
		...fence, attempt, isClosed: true, retentionStartsAt: monotonic,
	});
	const active = [...state.gangs.values()].filter(gang => gang.job === job && !isEnded(gang));
	for (const gang of active) {
		const step = message.mode === 'checkpoint' ? evictGang(next, gang, 'withdrawn', monotonic) : endGang(next, gang, 'withdrawn', monotonic);
		next = step.state;
		effects.push(...step.effects);
	}

	const unended = active.map(gang => findGang(next, gang)).find(gang => gang !== undefined && !isEnded(gang));
	return unended === undefined
		? {state: next, effects: [...effects, reply(replyId, answerEnded(next, message))]}
		: {state: putGang(next, {...unended, pendingReplyIds: [...unended.pendingReplyIds, replyId]}), effects};
}

/** A member counts as started if any task of this or an earlier attempt was sent to the worker. */
function answerEnded(state: ReservationState, message: StopMessage): ReservationAnswer {
	const gang = findGang(state, message);
	const hasStarted = gang?.members.some(({state: member}) => member.kind === 'finished' || (member.kind === 'stopped' && member.started)) ?? false;
	return gang !== undefined && hasStarted ? describeEnd(gang) : describeEndFromFence(state, message);
}

function describeEndFromFence(state: ReservationState, {job, attempt}: StopMessage): ReservationAnswer {
	const {firstStartedAttempt} = readFence(state, job);
	return firstStartedAttempt === 0 || firstStartedAttempt > attempt ? {kind: 'never-started'} : {kind: 'stopped', checkpoints: {}};
}

/** Reports the newest attempt of a job on this worker. */
export function findJob(state: ReservationState, {job, replyId}: Extract<ReservationMessage, {kind: 'find'}>): ReservationStep {
	const newest = [...state.gangs.values()].filter(gang => gang.job === job).toSorted((first, second) => second.attempt - first.attempt).at(0);
	const members = (newest?.members ?? []).map(({member, state: memberState}) => ({member, state: memberState}));
	return {state, effects: [reply(replyId, {kind: 'found', attempt: readFence(state, job).attempt, members})]};
}
