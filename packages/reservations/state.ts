import type {
	AcceleratorIndex, JobId, Milliseconds, MonotonicTime, Step,
} from '#core';
import type {
	Fence, GangRecord, GangReference, Holding, MemberRecord, ReservationAnswer, ReservationEffect, ReservationState, TaskReference,
} from './types.js';

export type ReservationStep = Step<ReservationState, ReservationEffect>;

/** Creates the state of an agent that has just started. */
export function createReservationState(options: Readonly<{
	accelerators: number; graceMilliseconds: Milliseconds; acceptsFrom: MonotonicTime;
}>): ReservationState {
	return {
		...options, cells: [], layoutRevision: 0, gangs: new Map(), fences: new Map(), isDraining: false,
	};
}

export function gangKey({job, attempt}: GangReference): string {
	return `${job}/${attempt}`;
}

export function findGang(state: ReservationState, reference: GangReference): GangRecord | undefined {
	return state.gangs.get(gangKey(reference));
}

export function putGang(state: ReservationState, gang: GangRecord): ReservationState {
	return {...state, gangs: new Map(state.gangs).set(gangKey(gang), gang)};
}

export function readFence(state: ReservationState, job: JobId): Fence {
	return state.fences.get(job) ?? {
		attempt: 0, isClosed: false, firstStartedAttempt: 0, retentionStartsAt: 0,
	};
}

export function putFence(state: ReservationState, job: JobId, fence: Fence): ReservationState {
	return {...state, fences: new Map(state.fences).set(job, fence)};
}

export function isHolding(member: MemberRecord): boolean {
	return member.state.kind === 'reserved' || member.state.kind === 'committed' || member.state.kind === 'running';
}

/** Lists the accelerators that are reserved for or used by the members of a gang. */
export function listAccelerators(gang: GangRecord): readonly AcceleratorIndex[] {
	return gang.members.filter(isHolding).flatMap(({accelerators}) => accelerators);
}

export function isEnded(gang: GangRecord): boolean {
	return gang.phase.kind === 'ended';
}

export function taskOf(gang: GangRecord, {member}: MemberRecord): TaskReference {
	return {job: gang.job, attempt: gang.taskAttempt, member};
}

export function reply(replyId: number, answer: ReservationAnswer): ReservationEffect {
	return {kind: 'reply', replyId, answer};
}

/** Lists the accelerators that gangs hold on this worker, for reports to entries. */
export function listHoldings(state: ReservationState): readonly Holding[] {
	return [...state.gangs.values()].filter(gang => !isEnded(gang)).map(gang => ({
		job: gang.job, attempt: gang.attempt, plan: gang.plan, accelerators: listAccelerators(gang), preemptible: gang.preemptible, submittedAt: gang.submittedAt,
	}));
}

/** Whether every gang has ended and no notification is pending, so that the agent may exit. */
export function isSettled(state: ReservationState): boolean {
	return [...state.gangs.values()].every(gang => isEnded(gang) && gang.members.every(({notification}) => notification.kind === 'none'));
}
