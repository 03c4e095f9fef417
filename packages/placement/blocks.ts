import {
	assertNever, type GangShape, type JobId,
} from '#core';
import {isOwned, type AcceleratorUse} from './classify-accelerators.js';
import {compareScores, groupBy} from './occupancy.js';
import type {CellReference, MemberPlacement, WorkerView} from './types.js';

/** A worker and how one gang may use its accelerators. */
export type ClassifiedWorker = Readonly<{view: WorkerView; uses: readonly AcceleratorUse[]}>;

/** The workers of a zone, classified for one gang and ordered by name. */
export type ClassifiedZone = Readonly<{
	workers: readonly ClassifiedWorker[];
	/** Whether the plan has cells of exactly the gang's size. The gang then fills one of them completely or uses none of the plan's cells. */
	usesWholeCell: boolean;
}>;

/** Which accelerators a placement may use besides the gang's own free ones. */
export type PlacementConstraints = Readonly<{
	free: boolean;
	borrowable: boolean;
	evicted: ReadonlySet<JobId>;
	/** Blocks end where a cell ends, so that adjacent small cells are not treated as a large one. */
	isWithinCell: boolean;
}>;

/** Adjacent accelerators of one worker that a gang may use. */
export type Block = ClassifiedWorker & Readonly<{
	start: number;
	length: number;
	/** Members that fit into the block. */
	capacity: number;
	/** Accelerators in the gang's own cells. */
	owned: number;
	/** Accelerators in cells of other plans. */
	borrowed: number;
}>;

/** Blocks that together satisfy the adjacency of a gang. */
type Domain = Readonly<{blocks: readonly Block[]; score: readonly number[]}>;

/** Lists the blocks that fit at least one member, in one pass over the accelerators, since a zone may have thousands of workers. */
export function listBlocks(workers: readonly ClassifiedWorker[], constraints: PlacementConstraints, acceleratorsPerMember: number): readonly Block[] {
	const blocks: Block[] = [];
	for (const {view, uses} of workers) {
		let start = 0;
		let owned = 0;
		let borrowed = 0;
		for (let end = 0; end <= uses.length; end++) {
			const use = uses[end];
			const isCellBoundary = constraints.isWithinCell && end > start && cellOf(use) !== cellOf(uses[end - 1]);
			if (use !== undefined && isUsable(use, constraints) && !isCellBoundary) {
				owned += isOwned(use) ? 1 : 0;
				borrowed += use.kind === 'borrowable' ? 1 : 0;
				continue;
			}

			const length = end - start;
			if (length >= acceleratorsPerMember) {
				blocks.push({
					view, uses, start, length, owned, borrowed, capacity: Math.floor(length / acceleratorsPerMember),
				});
			}

			start = isCellBoundary ? end : end + 1;
			owned = 0;
			borrowed = 0;
			if (isCellBoundary) {
				end--;
			}
		}
	}

	return blocks;
}

function cellOf(use: AcceleratorUse | undefined): CellReference | undefined {
	return use?.kind === 'own' || use?.kind === 'reclaimable' ? use.cell : undefined;
}

export function isUsable(use: AcceleratorUse, {free, borrowable, evicted}: PlacementConstraints): boolean {
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

/** Groups blocks by the adjacency of a gang, that is by worker, by rack or as the whole zone, and with `isWithinCell` also by cell. */
export function listDomains(blocks: readonly Block[], adjacency: GangShape['adjacency'], {isWithinCell}: Pick<PlacementConstraints, 'isWithinCell'>): ReadonlyArray<readonly Block[]> {
	const groups = isWithinCell ? [...groupBy(blocks, ({uses, start}) => cellOf(uses[start])?.position).values()] : [blocks];
	return groups.flatMap(group => splitByAdjacency(group, adjacency));
}

function splitByAdjacency(blocks: readonly Block[], adjacency: GangShape['adjacency']): ReadonlyArray<readonly Block[]> {
	switch (adjacency) {
		case 'worker': {
			return [...groupBy(blocks, ({view}) => view.worker).values()];
		}

		case 'rack': {
			return [...groupBy(blocks, ({view}) => view.rack).values()];
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
Places the members into the fullest domain that fits all of them, and there into the shortest blocks.

Domains with enough own accelerators come first, and those without borrowed ones before others. The remaining criteria keep long blocks and empty racks intact.
*/
export function fillBlocks(blocks: readonly Block[], {members, acceleratorsPerMember, adjacency}: GangShape, constraints: PlacementConstraints): readonly MemberPlacement[] | undefined {
	let best: Domain | undefined;
	for (const inside of listDomains(blocks, adjacency, constraints)) {
		if (countCapacity(inside) >= members) {
			const score = scoreDomain(inside, members * acceleratorsPerMember);
			if (best === undefined || compareScores(score, best.score) < 0) {
				best = {blocks: inside, score};
			}
		}
	}

	return best === undefined ? undefined : fillDomain(best, members, acceleratorsPerMember);
}

function scoreDomain(blocks: readonly Block[], needed: number): readonly number[] {
	let owned = 0;
	let borrowed = 0;
	let total = 0;
	for (const block of blocks) {
		owned += block.owned;
		borrowed += block.borrowed;
		total += block.length;
	}

	return [Math.max(0, needed - owned), borrowed, countCapacity(blocks), total];
}

function fillDomain({blocks}: Domain, members: number, acceleratorsPerMember: number): readonly MemberPlacement[] {
	const capacityOfRack = new Map([...groupBy(blocks, ({view}) => view.rack)].map(([rack, inside]) => [rack, countCapacity(inside)]));
	const ranked = blocks.map<RankedBlock>(block => ({block, borrowing: rankBorrowing(block), capacityOfRack: capacityOfRack.get(block.view.rack) ?? 0}));
	const placements: MemberPlacement[] = [];
	for (const {block} of ranked.toSorted(compareRanks)) {
		const count = Math.min(block.capacity, members - placements.length);
		const first = block.start + chooseOffset(block, count * acceleratorsPerMember);
		for (let position = 0; position < count; position++) {
			const start = first + (position * acceleratorsPerMember);
			placements.push({
				member: placements.length,
				worker: block.view.worker,
				accelerators: Array.from({length: acceleratorsPerMember}, (_, offset) => start + offset),
			});
		}

		if (placements.length === members) {
			break;
		}
	}

	return placements;
}

type RankedBlock = Readonly<{block: Block; borrowing: number; capacityOfRack: number}>;

/** Borrowing from a worker without borrowers ranks last, so that a reclaim there still evicts nobody. */
function rankBorrowing({borrowed, length, view}: Block): number {
	const isFirstBorrower = borrowed > 0 && !view.holdings.some(({preemptible}) => preemptible);
	return isFirstBorrower ? borrowed + length : borrowed;
}

/** Own accelerators first, then blocks that no plan is guaranteed, and among these the shortest in the fullest rack. */
function compareRanks(first: RankedBlock, second: RankedBlock): number {
	return (Number(second.block.owned > 0) - Number(first.block.owned > 0))
		|| (first.borrowing - second.borrowing)
		|| (first.block.length - second.block.length)
		|| (first.capacityOfRack - second.capacityOfRack);
}

/** Chooses where in a block the members are placed: on own accelerators first, on borrowed ones last, and at an end of the block rather than in its middle. */
function chooseOffset({uses, start, length}: Block, needed: number): number {
	let best: Readonly<{offset: number; score: readonly number[]}> | undefined;
	for (let offset = 0; offset + needed <= length; offset++) {
		const cost = uses.slice(start + offset, start + offset + needed).reduce((sum, use) => sum + costOf(use), 0);
		const score = [cost, Math.min(offset, length - offset - needed)];
		if (best === undefined || compareScores(score, best.score) < 0) {
			best = {offset, score};
		}
	}

	return best?.offset ?? 0;
}

function costOf({kind}: AcceleratorUse): number {
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
