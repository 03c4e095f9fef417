import {
	assertNever, type GangShape, type JobId, type RackName, type WorkerId,
} from '#core';
import type {AcceleratorUse} from './classify.js';
import {compareScores, groupBy, listRuns} from './ground.js';
import type {MemberPlacement, WorkerView} from './types.js';

/** A worker with what its accelerators are to one gang. */
export type ClassifiedWorker = Readonly<{view: WorkerView; uses: readonly AcceleratorUse[]}>;

/** Which accelerators a try to place a gang may take, beside its own free ones. */
export type Admission = Readonly<{free: boolean; borrowable: boolean; evicted: ReadonlySet<JobId>}>;

/** Neighbouring accelerators of one worker that a gang may take. */
export type Block = Readonly<{
	worker: WorkerId;
	rack: RackName;
	start: number;
	length: number;
	uses: readonly AcceleratorUse[];
	/** Members that fit into it. */
	capacity: number;
	/** Accelerators of the gang's own plan in it. */
	owned: number;
	/** Accelerators in cells of other plans. */
	borrowed: number;
	/** Whether another borrower holds accelerators of the worker, so that a reclaim there evicts somebody anyway. */
	isBorrowedFrom: boolean;
}>;

/** Blocks that are close enough for a whole gang. */
type Domain = Readonly<{blocks: readonly Block[]; capacity: number; owned: number; borrowed: number}>;

/** Lists the blocks that hold at least one member. */
export function listBlocks(workers: readonly ClassifiedWorker[], admission: Admission, acceleratorsPerMember: number): readonly Block[] {
	const blocks: Block[] = [];
	for (const {view, uses} of workers) {
		for (const {start, length} of listRuns(uses, use => isAdmitted(use, admission))) {
			if (length < acceleratorsPerMember) {
				continue;
			}

			const inside = uses.slice(start, start + length);
			blocks.push({
				worker: view.worker,
				rack: view.rack,
				start,
				length,
				uses: inside,
				capacity: Math.floor(length / acceleratorsPerMember),
				owned: inside.filter(({kind}) => kind === 'own' || kind === 'reclaimable').length,
				borrowed: inside.filter(({kind}) => kind === 'borrowable').length,
				isBorrowedFrom: view.holdings.some(({preemptible}) => preemptible),
			});
		}
	}

	return blocks;
}

export function isAdmitted(use: AcceleratorUse, {free, borrowable, evicted}: Admission): boolean {
	switch (use.kind) {
		case 'own': {
			return true;
		}

		case 'free': {
			return free;
		}

		case 'borrowable': {
			return borrowable;
		}

		case 'reclaimable': {
			return evicted.has(use.job);
		}

		case 'taken': {
			return false;
		}

		default: {
			return assertNever(use);
		}
	}
}

/** Groups blocks by what the adjacency of a gang allows: one worker, one rack or the whole zone. */
export function listDomains(blocks: readonly Block[], adjacency: GangShape['adjacency']): ReadonlyArray<readonly Block[]> {
	switch (adjacency) {
		case 'worker': {
			return [...groupBy(blocks, ({worker}) => worker).values()];
		}

		case 'rack': {
			return [...groupBy(blocks, ({rack}) => rack).values()];
		}

		case 'zone': {
			return [blocks];
		}

		default: {
			return assertNever(adjacency);
		}
	}
}

/** Counts the members that fit into blocks. */
export function countCapacity(blocks: readonly Block[]): number {
	return blocks.reduce((sum, {capacity}) => sum + capacity, 0);
}

/**
Places the members into the fullest domain that holds all of them, and there into the shortest blocks.

Domains with own accelerators go first and those without borrowed ones before others; the rest of the order keeps long blocks and empty racks whole.
*/
export function fillBlocks(blocks: readonly Block[], {members, acceleratorsPerMember, adjacency}: GangShape): readonly MemberPlacement[] | undefined {
	let best: Domain | undefined;
	for (const group of listDomains(blocks, adjacency)) {
		const domain = summarize(group);
		if (domain.capacity >= members && (best === undefined || compareScores(scoreDomain(domain), scoreDomain(best)) < 0)) {
			best = domain;
		}
	}

	return best === undefined ? undefined : fillDomain(best, members, acceleratorsPerMember);
}

function summarize(blocks: readonly Block[]): Domain {
	return {
		blocks,
		capacity: countCapacity(blocks),
		owned: blocks.reduce((sum, {owned}) => sum + owned, 0),
		borrowed: blocks.reduce((sum, {borrowed}) => sum + borrowed, 0),
	};
}

function scoreDomain({capacity, owned, borrowed, blocks}: Domain): readonly number[] {
	return [-owned, borrowed, capacity, blocks.reduce((sum, {length}) => sum + length, 0)];
}

function fillDomain({blocks}: Domain, members: number, acceleratorsPerMember: number): readonly MemberPlacement[] {
	const capacityOfRack = new Map([...groupBy(blocks, ({rack}) => rack)].map(([rack, inside]) => [rack, countCapacity(inside)]));
	const scored = blocks.map(block => ({block, score: scoreBlock(block, capacityOfRack.get(block.rack) ?? 0)}));
	const placements: MemberPlacement[] = [];
	for (const {block} of scored.toSorted((left, right) => compareScores(left.score, right.score))) {
		const count = Math.min(block.capacity, members - placements.length);
		const first = block.start + chooseOffset(block, count * acceleratorsPerMember);
		for (let position = 0; position < count; position++) {
			const start = first + (position * acceleratorsPerMember);
			placements.push({
				member: placements.length,
				worker: block.worker,
				accelerators: Array.from({length: acceleratorsPerMember}, (_, offset) => start + offset),
			});
		}

		if (placements.length === members) {
			break;
		}
	}

	return placements;
}

/** Own accelerators first, then blocks that nobody is guaranteed, then those where a reclaim evicts a borrower anyway. */
function scoreBlock({owned, borrowed, isBorrowedFrom, length}: Block, capacityOfRack: number): readonly number[] {
	return [owned > 0 ? 0 : 1, borrowed, borrowed > 0 && !isBorrowedFrom ? 1 : 0, length, capacityOfRack];
}

/** Where in a block the members go: on own accelerators first, on borrowed ones last, and at an end of the block rather than in its middle. */
function chooseOffset({uses, length}: Block, wanted: number): number {
	let best: Readonly<{offset: number; score: readonly number[]}> | undefined;
	for (let offset = 0; offset + wanted <= length; offset++) {
		const weight = uses.slice(offset, offset + wanted).reduce((sum, use) => sum + weightOf(use), 0);
		const score = [weight, Math.min(offset, length - offset - wanted)];
		if (best === undefined || compareScores(score, best.score) < 0) {
			best = {offset, score};
		}
	}

	return best?.offset ?? 0;
}

function weightOf({kind}: AcceleratorUse): number {
	switch (kind) {
		case 'own':
		case 'reclaimable': {
			return 0;
		}

		case 'free': {
			return 1;
		}

		case 'borrowable': {
			return 2;
		}

		case 'taken': {
			return Number.POSITIVE_INFINITY;
		}

		default: {
			return assertNever(kind);
		}
	}
}
