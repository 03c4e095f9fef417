import type {AcceleratorIndex, RefusalReason} from '#core';
import {isEnded, isHolding, listAccelerators} from './state.js';
import type {
	GangRecord, MemberRecord, ReservationState, ReserveMessage,
} from './types.js';

type Claim = Pick<ReserveMessage, 'job' | 'attempt' | 'plan' | 'submittedAt' | 'preemptible' | 'members'>;

/** What has to happen so that a claim gets its accelerators. */
export type ConflictDecision =
	| Readonly<{kind: 'refused'; reason: RefusalReason}>
	| Readonly<{kind: 'granted'; displaced: readonly GangRecord[]; evicted: readonly GangRecord[]}>;

type Verdict =
	| Readonly<{kind: 'displace'}>
	| Readonly<{kind: 'evict'}>
	| Readonly<{kind: 'wait'}>
	| Readonly<{kind: 'refused'; reason: RefusalReason}>;

/** Decides between a claim and the gangs that hold its accelerators. Nothing is displaced unless the whole claim is granted. */
export function decideConflicts(state: ReservationState, claim: Claim): ConflictDecision {
	const wanted = claim.members.flatMap(({accelerators}) => accelerators);
	const problem = findProblem(state, claim, wanted);
	if (problem !== undefined) {
		return {kind: 'refused', reason: problem};
	}

	const displaced: GangRecord[] = [];
	const evicted: GangRecord[] = [];
	for (const holder of state.gangs.values()) {
		const shared = listAccelerators(holder).filter(accelerator => wanted.includes(accelerator));
		if (isEnded(holder) || holder.job === claim.job || shared.length === 0) {
			continue;
		}

		const verdict = judgeHolder(state, claim, holder, shared);
		switch (verdict.kind) {
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
				return verdict;
			}
		}
	}

	return {kind: 'granted', displaced, evicted};
}

function findProblem(state: ReservationState, claim: Claim, wanted: readonly AcceleratorIndex[]): RefusalReason | undefined {
	if (new Set(wanted).size !== wanted.length || wanted.some(accelerator => accelerator >= state.accelerators)) {
		return 'impossible-shape';
	}

	const isForeign = wanted.some(accelerator => {
		const owner = ownerOf(state, accelerator);
		return owner !== undefined && owner !== claim.plan;
	});
	return isForeign && !claim.preemptible ? 'cell-not-owned' : undefined;
}

function ownerOf(state: ReservationState, accelerator: AcceleratorIndex): string | undefined {
	return state.cells.find(cell => cell.accelerators.includes(accelerator))?.plan;
}

function judgeHolder(state: ReservationState, claim: Claim, holder: GangRecord, shared: readonly AcceleratorIndex[]): Verdict {
	// A plan's own preemptible gang must not keep the plan from the shape that it is guaranteed.
	const givesWay = holder.plan !== claim.plan || (holder.preemptible && !claim.preemptible);
	const isReclaim = givesWay && shared.some(accelerator => ownerOf(state, accelerator) === claim.plan);
	const isBorrow = holder.plan !== claim.plan && shared.some(accelerator => ownerOf(state, accelerator) === holder.plan);
	switch (holder.phase.kind) {
		case 'reclaiming':
		case 'reserved': {
			if (isReclaim || (!isBorrow && isOlder(claim, holder))) {
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

type Age = Pick<GangRecord, 'job' | 'submittedAt'>;

/** Order of wound-wait: by submission, then by identifier, so that every agent decides alike. */
export function isOlder(one: Age, other: Age): boolean {
	return one.submittedAt === other.submittedAt ? one.job < other.job : one.submittedAt < other.submittedAt;
}

/** Whether others still hold accelerators of a promised reservation, or an earlier attempt of the same job has not stopped. */
export function isBlocked(state: ReservationState, gang: GangRecord): boolean {
	const wanted = new Set(listAccelerators(gang));
	const occupies = (member: MemberRecord) => isHolding(member) && member.accelerators.some(accelerator => wanted.has(accelerator));
	return [...state.gangs.values()].some(other => {
		if (other.job === gang.job) {
			return other.attempt !== gang.attempt && !isEnded(other);
		}

		return other.phase.kind !== 'reclaiming' && other.members.some(occupies);
	});
}
