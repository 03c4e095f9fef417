import {assertNever} from '#core';
import {
	compareScores, countFree, groupBy, listIndexes, listRanges, withoutPinned, type Occupancy, type WorkerOccupancy, type IndexRange,
} from './occupancy.js';
import type {CellPart, CellShape, CellStrategy} from './layout-types.js';

type Window = Readonly<{start: number; score: readonly number[]}>;
type Choice = Readonly<{parts: readonly CellPart[]; score: readonly number[]}>;

/** Chooses free accelerators for one cell. Those under non-preemptible gangs of other plans are used only if no others fit. */
export function chooseParts(occupancy: Occupancy, cell: CellShape, strategy: CellStrategy): readonly CellPart[] | undefined {
	const unpinned = withoutPinned(occupancy, cell.plan);
	return chooseFreeParts(unpinned, cell, strategy) ?? (unpinned === occupancy ? undefined : chooseFreeParts(occupancy, cell, strategy));
}

function chooseFreeParts(occupancy: Occupancy, cell: CellShape, strategy: CellStrategy): readonly CellPart[] | undefined {
	switch (cell.adjacency) {
		case 'worker': {
			return chooseInWorker(occupancy, cell.accelerators, strategy);
		}

		case 'rack': {
			return chooseInRack(occupancy, cell.accelerators);
		}

		case 'zone': {
			return collectParts([...occupancy.values()], cell.accelerators)?.parts;
		}

		default: {
			return assertNever(cell.adjacency);
		}
	}
}

/** Prefers the window that splits the smallest block, then the rack with the fewest free accelerators, so that whole racks stay free. */
function chooseInWorker(occupancy: Occupancy, accelerators: number, strategy: CellStrategy): readonly CellPart[] | undefined {
	const racks = groupBy(occupancy.values(), ({rack}) => rack);
	let best: Choice | undefined;
	for (const workers of racks.values()) {
		const freeInRack = countFree(workers);
		for (const {worker, free} of workers) {
			for (const window of listWindows(free, accelerators, strategy)) {
				const score = [...window.score, freeInRack];
				if (best === undefined || compareScores(score, best.score) < 0) {
					best = {parts: [{worker, accelerators: listIndexes(window.start, accelerators)}], score};
				}
			}
		}
	}

	return best?.parts;
}

function listWindows(free: readonly boolean[], accelerators: number, strategy: CellStrategy): readonly Window[] {
	switch (strategy) {
		case 'best-fit': {
			return listRanges(free, Boolean).filter(({length}) => length >= accelerators).flatMap(range => listWindowsInRange(range, accelerators));
		}

		case 'buddy': {
			return listBuddyWindows(free, accelerators);
		}

		default: {
			return assertNever(strategy);
		}
	}
}

/** Lists the windows at both ends of a range. A start at a multiple of the cell's size is preferred, because it leaves blocks that later cells of the same size fill. */
function listWindowsInRange({start, length}: IndexRange, accelerators: number): readonly Window[] {
	const starts = length === accelerators ? [start] : [start, start + length - accelerators];
	return starts.map(first => ({start: first, score: [length - accelerators, first % accelerators === 0 ? 0 : 1]}));
}

/** Lists the free aligned blocks whose size is the next power of two. The score grows with the size of the enclosing block that is split. */
function listBuddyWindows(free: readonly boolean[], accelerators: number): readonly Window[] {
	const isBlockFree = (start: number, size: number) => start < free.length && free.slice(start, start + size).every(Boolean);
	let size = 1;
	while (size < accelerators) {
		size *= 2;
	}

	const windows: Window[] = [];
	for (let start = 0; start + accelerators <= free.length; start += size) {
		if (isBlockFree(start, size)) {
			let enclosing = size;
			while (enclosing < free.length && isBlockFree(Math.floor(start / (enclosing * 2)) * enclosing * 2, enclosing * 2)) {
				enclosing *= 2;
			}

			windows.push({start, score: [enclosing - accelerators]});
		}
	}

	return windows;
}

/** Prefers the rack with the fewest free accelerators left after the cell, then the one with the fewest parts. */
function chooseInRack(occupancy: Occupancy, accelerators: number): readonly CellPart[] | undefined {
	let best: Choice | undefined;
	for (const workers of groupBy(occupancy.values(), ({rack}) => rack).values()) {
		const choice = collectParts(workers, accelerators);
		if (choice !== undefined && (best === undefined || compareScores(choice.score, best.score) < 0)) {
			best = choice;
		}
	}

	return best?.parts;
}

/** Uses the longest ranges, since members of a gang need adjacent accelerators, and for the remainder the shortest range that fits it. */
function collectParts(workers: readonly WorkerOccupancy[], accelerators: number): Choice | undefined {
	const ranges = workers
		.flatMap(({worker, free}) => listRanges(free, Boolean).map(range => ({worker, ...range})))
		.toSorted((first, second) => second.length - first.length);
	const total = ranges.reduce((sum, {length}) => sum + length, 0);
	if (total < accelerators) {
		return undefined;
	}

	const parts: CellPart[] = [];
	let remaining = accelerators;
	for (const [position, range] of ranges.entries()) {
		if (range.length >= remaining) {
			const last = findShortestRange(ranges.slice(position), remaining);
			parts.push({worker: last.worker, accelerators: listIndexes(last.start, remaining)});
			break;
		}

		parts.push({worker: range.worker, accelerators: listIndexes(range.start, range.length)});
		remaining -= range.length;
	}

	return {parts: mergeParts(parts), score: [total - accelerators, parts.length]};
}

/** Finds the last range that is long enough. Ranges are in descending order of length, and the first one is long enough. */
function findShortestRange<Item extends IndexRange>(ranges: readonly Item[], length: number): Item {
	return ranges.findLast(range => range.length >= length)!;
}

/** One part per worker, with ascending indexes. */
function mergeParts(parts: readonly CellPart[]): readonly CellPart[] {
	return [...groupBy(parts, ({worker}) => worker)].map(([worker, group]) => ({
		worker, accelerators: group.flatMap(({accelerators}) => accelerators).toSorted((first, second) => first - second),
	}));
}
