import type {AcceleratorIndex, RefusalReason} from '#core';
import {isEnded, isHolding, listAccelerators} from './state.js';
import type {
	GangRecord, MemberRecord, ReservationState, ReserveMessage,
} from './types.js';

type ReservationRequest = Pick<ReserveMessage, 'job' | 'attempt' | 'plan' | 'submittedAt' | 'preemptible' | 'members'>;

/** Whether a reservation is granted, and which gangs have to release accelerators for it. */
export type ConflictDecision =
	| Readonly<{kind: 'refused'; reason: RefusalReason}>
	| Readonly<{kind: 'granted'; displaced: readonly GangRecord[]; evicted: readonly GangRecord[]}>;

type HolderAction =
	| Readonly<{kind: 'displace'}>
	| Readonly<{kind: 'evict'}>
	| Readonly<{kind: 'wait'}>
	| Readonly<{kind: 'refused'; reason: RefusalReason}>;

/** Decides between a reservation and the gangs that hold its accelerators. No gang is displaced unless the whole reservation is granted. */
export function decideConflicts(state: ReservationState, request: ReservationRequest): ConflictDecision {
	const requested = request.members.flatMap(({accelerators}) => accelerators);
	const refusalReason = findRefusalReason(state, request, requested);
	if (refusalReason !== undefined) {
		return {kind: 'refused', reason: refusalReason};
	}

	const displaced: GangRecord[] = [];
	const evicted: GangRecord[] = [];
	for (const holder of state.gangs.values()) {
		const shared = listAccelerators(holder).filter(accelerator => requested.includes(accelerator));
		if (isEnded(holder) || holder.job === request.job || shared.length === 0) {
			continue;
		}

		const action = chooseHolderAction(state, request, holder, shared);
		switch (action.kind) {
			case 'displace': {
				displaced.push(holder);
				break;
			}

			case 'evict': {
				evicted.push(holder);
				break;
			}

			case 'wait': {
				break;
			}

			case 'refused': {
				return action;
			}
		}
	}

	return {kind: 'granted', displaced, evicted};
}

function findRefusalReason(state: ReservationState, request: ReservationRequest, requested: readonly AcceleratorIndex[]): RefusalReason | undefined {
	if (new Set(requested).size !== requested.length || requested.some(accelerator => accelerator >= state.accelerators)) {
		return 'impossible-shape';
	}

	const isForeign = requested.some(accelerator => {
		const owner = ownerOf(state, accelerator);
		return owner !== undefined && owner !== request.plan;
	});
	return isForeign && !request.preemptible ? 'cell-not-owned' : undefined;
}

function ownerOf(state: ReservationState, accelerator: AcceleratorIndex): string | undefined {
	return state.cells.find(cell => cell.accelerators.includes(accelerator))?.plan;
}

function chooseHolderAction(state: ReservationState, request: ReservationRequest, holder: GangRecord, shared: readonly AcceleratorIndex[]): HolderAction {
	// A plan's own preemptible gang must not block the shape that the plan is guaranteed.
	const canPreempt = holder.plan !== request.plan || (holder.preemptible && !request.preemptible);
	const isReclaim = canPreempt && shared.some(accelerator => ownerOf(state, accelerator) === request.plan);
	const isBorrow = holder.plan !== request.plan && shared.some(accelerator => ownerOf(state, accelerator) === holder.plan);
	switch (holder.phase.kind) {
		case 'reclaiming':
		case 'reserved': {
			if (isReclaim || (!isBorrow && isOlder(request, holder))) {
				return {kind: 'displace'};
			}

			return {kind: 'refused', reason: isBorrow ? 'accelerators-busy' : 'older-gang-waiting'};
		}

		case 'committed':
		case 'started': {
			return isReclaim ? {kind: 'evict'} : {kind: 'refused', reason: 'accelerators-busy'};
		}

		case 'evicting':
		case 'stopping': {
			return isReclaim ? {kind: 'wait'} : {kind: 'refused', reason: 'accelerators-busy'};
		}

		case 'ended': {
			return {kind: 'wait'};
		}
	}
}

type SubmissionOrder = Pick<GangRecord, 'job' | 'submittedAt'>;

/** Wound-wait order: by submission time, then by job identifier, so that every agent decides the same way. */
export function isOlder(first: SubmissionOrder, second: SubmissionOrder): boolean {
	return first.submittedAt === second.submittedAt ? first.job < second.job : first.submittedAt < second.submittedAt;
}

/** Whether other gangs still hold accelerators of a reclaiming gang, or another attempt of its job has not ended. */
export function isBlocked(state: ReservationState, gang: GangRecord): boolean {
	const requested = new Set(listAccelerators(gang));
	const occupies = (member: MemberRecord) => isHolding(member) && member.accelerators.some(accelerator => requested.has(accelerator));
	return [...state.gangs.values()].some(other => {
		if (other.job === gang.job) {
			return other.attempt !== gang.attempt && !isEnded(other);
		}

		return other.phase.kind !== 'reclaiming' && other.members.some(occupies);
	});
}
