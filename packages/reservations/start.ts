import type {MonotonicTime, RefusalReason} from '#core';
import {
	findGang, isEnded, putFence, putGang, readFence, reply, taskOf, type ReservationStep,
} from './state.js';
import type {
	GangRecord, GangReference, Renewal, ReservationAnswer, ReservationEffect, ReservationMessage, ReservationState, StartMessage,
} from './types.js';

type CommitMessage = Extract<ReservationMessage, {kind: 'commit'}>;

/** Commits a reservation, so that no older gang can displace it before it starts. */
export function commitGang(state: ReservationState, message: CommitMessage, monotonic: MonotonicTime): ReservationStep {
	const gang = findGang(state, message);
	switch (gang?.phase.kind) {
		case 'reserved':
		case 'committed': {
			const members = gang.members.map(member => ({...member, state: {kind: 'committed'} as const}));
			const phase = {kind: 'committed', leaseEndsAt: monotonic + message.leaseMilliseconds} as const;
			return {state: putGang(state, {...gang, members, phase}), effects: [reply(message.replyId, {kind: 'accepted'})]};
		}

		case 'started': {
			return {state, effects: [reply(message.replyId, {kind: 'accepted'})]};
		}

		case 'reclaiming': {
			return {state, effects: [reply(message.replyId, {kind: 'refused', reason: 'accelerators-busy'})]};
		}

		case 'evicting':
		case 'stopping':
		case 'ended':
		case undefined: {
			return {state, effects: [reply(message.replyId, refuseInactive(state, message, gang))]};
		}
	}
}

/** Starts every member of a committed gang on this worker. A repeated start is accepted but starts nothing. */
export function startGang(state: ReservationState, message: StartMessage, monotonic: MonotonicTime): ReservationStep {
	const gang = findGang(state, message);
	switch (gang?.phase.kind) {
		case 'committed': {
			return startCommitted(state, gang, message, monotonic);
		}

		case 'started': {
			return {state, effects: [reply(message.replyId, {kind: 'accepted'})]};
		}

		case 'reclaiming':
		case 'reserved': {
			return {state, effects: [reply(message.replyId, {kind: 'refused', reason: 'invalid-request'})]};
		}

		case 'evicting':
		case 'stopping':
		case 'ended':
		case undefined: {
			const answer = gang !== undefined && isEnded(gang) && hasFinished(gang) ? {kind: 'accepted'} as const : refuseInactive(state, message, gang);
			return {state, effects: [reply(message.replyId, answer)]};
		}
	}
}

function startCommitted(state: ReservationState, gang: GangRecord, message: StartMessage, monotonic: MonotonicTime): ReservationStep {
	const {operation, payload, checkpoints, leaseMilliseconds} = message;
	const members = gang.members.map(member => ({...member, state: {kind: 'running'} as const, startedAt: monotonic}));
	const started: GangRecord = {...gang, members, phase: {kind: 'started', leaseEndsAt: monotonic + leaseMilliseconds}};
	const fence = readFence(state, gang.job);
	const firstStartedAttempt = fence.firstStartedAttempt === 0 ? gang.attempt : fence.firstStartedAttempt;
	return {
		state: putFence(putGang(state, started), gang.job, {...fence, firstStartedAttempt, retentionStartsAt: monotonic}),
		effects: [
			...members.map(member => ({
				kind: 'start-task', task: taskOf(gang, member), operation, payload, checkpoint: checkpoints[member.member], accelerators: member.accelerators, leaseMilliseconds,
			}) as const),
			reply(message.replyId, {kind: 'accepted'}),
		],
	};
}

function refuseInactive(state: ReservationState, {job, attempt}: GangReference, gang: GangRecord | undefined): ReservationAnswer {
	if (attempt < readFence(state, job).attempt) {
		return {kind: 'refused', reason: 'stale-attempt'};
	}

	return {kind: 'refused', reason: gang === undefined ? 'lease-lapsed' : endReason(gang)};
}

function endReason({phase}: GangRecord): RefusalReason {
	return 'reason' in phase && phase.reason !== 'finished' ? phase.reason : 'stale-attempt';
}

type RenewMessage = Extract<ReservationMessage, {kind: 'renew'}>;

/** Extends the leases of committed and running gangs and lists those that are no longer held. */
export function renewGangs(state: ReservationState, message: RenewMessage, monotonic: MonotonicTime): ReservationStep {
	const {leaseMilliseconds, replyId} = message;
	const leaseEndsAt = monotonic + leaseMilliseconds;
	const lapsed: GangReference[] = [];
	const ended: GangReference[] = [];
	const renewed: GangRecord[] = [];
	let next = state;
	for (const {job, attempt, raiseTo} of message.gangs) {
		const gang = findRenewable(next, {job, attempt, raiseTo});
		if (gang === undefined || gang.attempt < readFence(next, job).attempt) {
			lapsed.push({job, attempt});
			continue;
		}

		switch (gang.phase.kind) {
			case 'committed':
			case 'started': {
				next = renewGang(next, gang, raiseTo ?? attempt, leaseEndsAt);
				renewed.push(gang);
				break;
			}

			case 'reclaiming':
			case 'reserved':
			case 'evicting': {
				break;
			}

			case 'ended': {
				// The members on this worker have finished while others may still run; the owner queries their results.
				next = raiseGang(next, gang, raiseTo ?? attempt);
				ended.push({job, attempt});
				break;
			}

			case 'stopping': {
				lapsed.push({job, attempt});
			}
		}
	}

	const runningTasks = renewed.flatMap(gang => gang.members.filter(member => member.state.kind === 'running').map(member => taskOf(gang, member)));
	const renewals: readonly ReservationEffect[] = runningTasks.length === 0 ? [] : [{kind: 'renew-tasks', tasks: runningTasks, leaseMilliseconds}];
	return {state: next, effects: [...renewals, reply(replyId, {kind: 'renewed', lapsed, ended})]};
}

/** Also finds a gang whose attempt was already raised by an earlier renewal or adoption. */
function findRenewable(state: ReservationState, {job, attempt, raiseTo}: Renewal): GangRecord | undefined {
	return [...state.gangs.values()].find(gang => gang.job === job && gang.attempt >= attempt && gang.attempt <= (raiseTo ?? attempt) && (!isEnded(gang) || hasFinished(gang)));
}

function hasFinished({members}: GangRecord): boolean {
	return members.every(({state}) => state.kind === 'finished');
}

function renewGang(state: ReservationState, gang: GangRecord, attempt: number, leaseEndsAt: MonotonicTime): ReservationState {
	const kind = gang.phase.kind === 'committed' ? 'committed' : 'started';
	return raiseGang(state, {...gang, phase: {kind, leaseEndsAt}}, attempt);
}

/** Raises the attempt of a gang, so that messages of a previous owner become stale. */
function raiseGang(state: ReservationState, gang: GangRecord, attempt: number): ReservationState {
	const fence = readFence(state, gang.job);
	const raised = Math.max(attempt, gang.attempt);
	const gangs = new Map(state.gangs);
	gangs.delete(`${gang.job}/${gang.attempt}`);
	return putFence(putGang({...state, gangs}, {...gang, attempt: raised}), gang.job, {...fence, attempt: Math.max(raised, fence.attempt)});
}
