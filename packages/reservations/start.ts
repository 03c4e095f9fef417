import type {MonotonicTime, RefusalReason} from '#core';
import {
	findGang, isEnded, putFence, putGang, readFence, reply, taskOf, type ReservationStep,
} from './state.js';
import type {
	GangRecord, GangReference, Renewal, ReservationAnswer, ReservationEffect, ReservationMessage, ReservationState, StartMessage,
} from './types.js';

type CommitMessage = Extract<ReservationMessage, {kind: 'commit'}>;

/** Keeps a reservation until it starts; from now on no older gang can displace it. */
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
			return {state, effects: [reply(message.replyId, refuseMissing(state, message, gang))]};
		}
	}
}

/** Starts every member of a committed gang on this worker; a repeated start starts nothing again. */
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
			const answer = gang !== undefined && isEnded(gang) && hasFinished(gang) ? {kind: 'accepted'} as const : refuseMissing(state, message, gang);
			return {state, effects: [reply(message.replyId, answer)]};
		}
	}
}

function startCommitted(state: ReservationState, gang: GangRecord, message: StartMessage, monotonic: MonotonicTime): ReservationStep {
	const {operation, payload, checkpoints, leaseMilliseconds} = message;
	const members = gang.members.map(member => ({...member, state: {kind: 'running'} as const, startedAt: monotonic}));
	const started: GangRecord = {...gang, members, phase: {kind: 'started', leaseEndsAt: monotonic + leaseMilliseconds}};
	const fence = readFence(state, gang.job);
	const firstStarted = fence.firstStartedAttempt === 0 ? gang.attempt : fence.firstStartedAttempt;
	return {
		state: putFence(putGang(state, started), gang.job, {...fence, firstStartedAttempt: firstStarted, lastMessageAt: monotonic}),
		effects: [
			...members.map(member => ({
				kind: 'start-task', task: taskOf(gang, member), operation, payload, checkpoint: checkpoints[member.member], accelerators: member.accelerators, leaseMilliseconds,
			}) as const),
			reply(message.replyId, {kind: 'accepted'}),
		],
	};
}

function refuseMissing(state: ReservationState, {job, attempt}: GangReference, gang: GangRecord | undefined): ReservationAnswer {
	if (attempt < readFence(state, job).attempt) {
		return {kind: 'refused', reason: 'stale-attempt'};
	}

	return {kind: 'refused', reason: gang === undefined ? 'lease-lapsed' : endReason(gang)};
}

function endReason({phase}: GangRecord): RefusalReason {
	return 'reason' in phase && phase.reason !== 'finished' ? phase.reason : 'stale-attempt';
}

type RenewMessage = Extract<ReservationMessage, {kind: 'renew'}>;

/** Extends the leases of committed and running gangs and names those that are no longer held. */
export function renewGangs(state: ReservationState, message: RenewMessage, monotonic: MonotonicTime): ReservationStep {
	const {leaseMilliseconds, replyId} = message;
	const leaseEndsAt = monotonic + leaseMilliseconds;
	const lapsed: GangReference[] = [];
	const ended: GangReference[] = [];
	const tasks: GangRecord[] = [];
	let next = state;
	for (const {job, attempt, raiseTo} of message.gangs) {
		const gang = findHeld(next, {job, attempt, raiseTo});
		if (gang === undefined || gang.attempt < readFence(next, job).attempt) {
			lapsed.push({job, attempt});
			continue;
		}

		switch (gang.phase.kind) {
			case 'committed':
			case 'started': {
				next = renewGang(next, gang, raiseTo ?? attempt, leaseEndsAt);
				tasks.push(gang);
				break;
			}

			case 'reclaiming':
			case 'reserved':
			case 'evicting': {
				break;
			}

			case 'ended': {
				// Its members have finished here, while others may still run; the owner asks for their results.
				next = raiseGang(next, gang, raiseTo ?? attempt);
				ended.push({job, attempt});
				break;
			}

			case 'stopping': {
				lapsed.push({job, attempt});
			}
		}
	}

	const running = tasks.flatMap(gang => gang.members.filter(member => member.state.kind === 'running').map(member => taskOf(gang, member)));
	const renewals: readonly ReservationEffect[] = running.length === 0 ? [] : [{kind: 'renew-tasks', tasks: running, leaseMilliseconds}];
	return {state: next, effects: [...renewals, reply(replyId, {kind: 'renewed', lapsed, ended})]};
}

/** A repeated renewal, or a second adoption, finds the gang under an attempt that it was raised to before. */
function findHeld(state: ReservationState, {job, attempt, raiseTo}: Renewal): GangRecord | undefined {
	return [...state.gangs.values()].find(gang => gang.job === job && gang.attempt >= attempt && gang.attempt <= (raiseTo ?? attempt) && (!isEnded(gang) || hasFinished(gang)));
}

function hasFinished({members}: GangRecord): boolean {
	return members.every(({state}) => state.kind === 'finished');
}

function renewGang(state: ReservationState, gang: GangRecord, attempt: number, leaseEndsAt: MonotonicTime): ReservationState {
	const kind = gang.phase.kind === 'committed' ? 'committed' : 'started';
	return raiseGang(state, {...gang, phase: {kind, leaseEndsAt}}, attempt);
}

/** Gives a gang a higher attempt; messages of a former owner are stale from now on. */
function raiseGang(state: ReservationState, gang: GangRecord, attempt: number): ReservationState {
	const fence = readFence(state, gang.job);
	const raised = Math.max(attempt, gang.attempt);
	const gangs = new Map(state.gangs);
	gangs.delete(`${gang.job}/${gang.attempt}`);
	return putFence(putGang({...state, gangs}, {...gang, attempt: raised}), gang.job, {...fence, attempt: Math.max(raised, fence.attempt)});
}
