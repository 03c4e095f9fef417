import {
	placeGang, type GangRequest, type MemberPlacement, type WorkerView, type ZoneView,
} from '#placement';
import type {JobId} from '#core';
import type {Decision, Policy, Snapshot} from './types.js';

/** Stored layout of cells and best fit. */
export const layoutPolicy: Policy = {
	name: 'stored layout',
	decide({view}, gang) {
		const placement = placeGang(view, gang);
		return placement.kind === 'placed' ? {kind: 'start', members: placement.members, evictions: placement.evictions} : {kind: 'wait', evictions: []};
	},
};

/** Quotas are counts; members go to the first workers with adjacent free accelerators. */
export const firstFitPolicy: Policy = {
	name: 'first fit, flat quotas',
	decide: (snapshot, gang) => decideByCounts(snapshot, gang, placeFirst),
};

/** Quotas are counts; workers are chosen by their free counts, and a member that finds no adjacent accelerators there makes the whole gang wait. */
export const twoPhasePolicy: Policy = {
	name: 'two-phase by counts',
	decide: (snapshot, gang) => decideByCounts(snapshot, gang, reserveByCounts),
};

type Place = (view: ZoneView, gang: GangRequest) => readonly MemberPlacement[] | undefined;

/** A plan within its quota evicts the youngest preemptible jobs until the count of free accelerators is enough. */
function decideByCounts({view, quotas}: Snapshot, gang: GangRequest, place: Place): Decision {
	const needed = gang.shape.members * gang.shape.acceleratorsPerMember;
	const holdings = view.workers.flatMap(worker => worker.holdings);
	const used = holdings.filter(({plan, preemptible}) => plan === gang.plan && !preemptible).reduce((sum, {accelerators}) => sum + accelerators.length, 0);
	if (!gang.preemptible && used + needed > (quotas.get(gang.plan) ?? 0)) {
		return {kind: 'wait', evictions: []};
	}

	const members = place(view, gang);
	if (members !== undefined) {
		return {kind: 'start', members, evictions: []};
	}

	const free = view.workers.reduce((sum, worker) => sum + listFree(worker).length, 0);
	return {kind: 'wait', evictions: gang.preemptible ? [] : chooseYoungest(view, needed - free)};
}

function chooseYoungest(view: ZoneView, missing: number): readonly JobId[] {
	const borrowers = new Map<JobId, Readonly<{submittedAt: number; accelerators: number}>>();
	for (const {job, preemptible, submittedAt, accelerators} of view.workers.flatMap(({holdings}) => holdings)) {
		if (preemptible) {
			borrowers.set(job, {submittedAt, accelerators: accelerators.length + (borrowers.get(job)?.accelerators ?? 0)});
		}
	}

	const evictions: JobId[] = [];
	let freed = 0;
	for (const [job, {accelerators}] of [...borrowers].toSorted(([, first], [, second]) => second.submittedAt - first.submittedAt)) {
		if (freed >= missing) {
			break;
		}

		evictions.push(job);
		freed += accelerators;
	}

	return evictions;
}

function placeFirst(view: ZoneView, {shape}: GangRequest): readonly MemberPlacement[] | undefined {
	return firstGroup(view, shape.adjacency, workers => fill(workers, shape.members, worker => listBlocks(worker, shape.acceleratorsPerMember)));
}

function reserveByCounts(view: ZoneView, {shape}: GangRequest): readonly MemberPlacement[] | undefined {
	const members = firstGroup(view, shape.adjacency, workers => {
		const emptiestFirst = workers.toSorted((first, second) => listFree(second).length - listFree(first).length);
		return fill(emptiestFirst, shape.members, worker => chunk(listFree(worker), shape.acceleratorsPerMember));
	});
	return members?.every(({accelerators}) => accelerators.at(-1)! - accelerators[0]! === accelerators.length - 1) ? members : undefined;
}

/** Tries the groups that the adjacency allows, in the order of the workers. */
function firstGroup(
	view: ZoneView,
	adjacency: GangRequest['shape']['adjacency'],
	place: (workers: readonly WorkerView[]) => readonly MemberPlacement[] | undefined,
): readonly MemberPlacement[] | undefined {
	const groups = new Map<string, WorkerView[]>();
	for (const worker of view.workers) {
		const key = {worker: worker.worker, rack: worker.rack, zone: 'zone'}[adjacency];
		groups.set(key, [...(groups.get(key) ?? []), worker]);
	}

	for (const workers of groups.values()) {
		const members = place(workers);
		if (members !== undefined) {
			return members;
		}
	}

	return undefined;
}

function fill(workers: readonly WorkerView[], count: number, listOf: (worker: WorkerView) => ReadonlyArray<readonly number[]>): readonly MemberPlacement[] | undefined {
	const members: MemberPlacement[] = [];
	for (const worker of workers) {
		for (const accelerators of listOf(worker).slice(0, count - members.length)) {
			members.push({member: members.length, worker: worker.worker, accelerators});
		}
	}

	return members.length === count ? members : undefined;
}

function listFree({accelerators, holdings}: WorkerView): readonly number[] {
	const held = new Set<number>(holdings.flatMap(holding => holding.accelerators));
	return Array.from({length: accelerators}, (_, index) => index).filter(index => !held.has(index));
}

function listBlocks(worker: WorkerView, length: number): ReadonlyArray<readonly number[]> {
	const blocks: Array<readonly number[]> = [];
	let current: number[] = [];
	for (const index of listFree(worker)) {
		current = current.at(-1) === index - 1 ? [...current, index] : [index];
		if (current.length === length) {
			blocks.push(current);
			current = [];
		}
	}

	return blocks;
}

function chunk(indexes: readonly number[], length: number): ReadonlyArray<readonly number[]> {
	return Array.from({length: Math.floor(indexes.length / length)}, (_, position) => indexes.slice(position * length, (position + 1) * length));
}
