import {assertNever} from '#core';
import {
	compareScores, countFree, groupBy, listIndexes, listRanges, withoutPinned, type Occupancy, type WorkerOccupancy, type IndexRange,
} from './occupancy.js';
import type {CellPart, CellShape, CellStrategy} from './layout-types.js';

type Window = Readonly<{start: number; score: readonly number[]}>;
type Choice = Readonly<{parts: readonly CellPart[]; score: readonly number[]}>;

/** Chooses free accelerators for one cell, first beside gangs that may not be preempted, then under them. */
export function chooseParts(ground: Occupancy, cell: CellShape, strategy: CellStrategy): readonly CellPart[] | undefined {
	const unpinned = withoutPinned(ground, cell.plan);
	return chooseFreeParts(unpinned, cell, strategy) ?? (unpinned === ground ? undefined : chooseFreeParts(ground, cell, strategy));
}

function chooseFreeParts(ground: Occupancy, cell: CellShape, strategy: CellStrategy): readonly CellPart[] | undefined {
	switch (cell.adjacency) {
		case 'worker': {
			return chooseInWorker(ground, cell.accelerators, strategy);
		}

		case 'rack': {
			return chooseInRack(ground, cell.accelerators);
		}

		case 'zone': {
			return gatherParts([...ground.values()], cell.accelerators)?.parts;
		}

		default: {
			return assertNever(cell.adjacency);
		}
	}
}

/** Prefers the window that breaks the smallest block, then the rack with the least left, so that whole racks stay free. */
function chooseInWorker(ground: Occupancy, accelerators: number, strategy: CellStrategy): readonly CellPart[] | undefined {
	const racks = groupBy(ground.values(), ({rack}) => rack);
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
			return listRanges(free, Boolean).filter(({length}) => length >= accelerators).flatMap(run => listWindowsOfRun(run, accelerators));
		}

		case 'buddy': {
			return listBuddies(free, accelerators);
		}

		default: {
			return assertNever(strategy);
		}
	}
}

/** Both ends of a run. A start at a multiple of the length leaves blocks that later cells of the same length fill. */
function listWindowsOfRun({start, length}: IndexRange, accelerators: number): readonly Window[] {
	const starts = length === accelerators ? [start] : [start, start + length - accelerators];
	return starts.map(first => ({start: first, score: [length - accelerators, first % accelerators === 0 ? 0 : 1]}));
}

/** Aligned blocks whose size is the next power of two; the score is the size of the enclosing block that breaks. */
function listBuddies(free: readonly boolean[], accelerators: number): readonly Window[] {
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

/** Prefers the rack with the least left after the cell, then the one with the fewest parts. */
function chooseInRack(ground: Occupancy, accelerators: number): readonly CellPart[] | undefined {
	let best: Choice | undefined;
	for (const workers of groupBy(ground.values(), ({rack}) => rack).values()) {
		const choice = gatherParts(workers, accelerators);
		if (choice !== undefined && (best === undefined || compareScores(choice.score, best.score) < 0)) {
			best = choice;
		}
	}

	return best?.parts;
}

/** Takes the longest runs, since members of a gang need adjacent accelerators, and for the rest the shortest run that holds it. */
function gatherParts(workers: readonly WorkerOccupancy[], accelerators: number): Choice | undefined {
	const runs = workers
		.flatMap(({worker, free}) => listRanges(free, Boolean).map(run => ({worker, ...run})))
		.toSorted((first, second) => second.length - first.length);
	const total = runs.reduce((sum, {length}) => sum + length, 0);
	if (total < accelerators) {
		return undefined;
	}

	const parts: CellPart[] = [];
	let missing = accelerators;
	for (const [position, run] of runs.entries()) {
		if (run.length >= missing) {
			const last = findShortest(runs.slice(position), missing);
			parts.push({worker: last.worker, accelerators: listIndexes(last.start, missing)});
			break;
		}

		parts.push({worker: run.worker, accelerators: listIndexes(run.start, run.length)});
		missing -= run.length;
	}

	return {parts: mergeParts(parts), score: [total - accelerators, parts.length]};
}

/** The last run that is long enough; runs descend in length and the first one is. */
function findShortest<Item extends IndexRange>(runs: readonly Item[], length: number): Item {
	return runs.findLast(run => run.length >= length)!;
}

/** One part per worker, with ascending indexes. */
function mergeParts(parts: readonly CellPart[]): readonly CellPart[] {
	return [...groupBy(parts, ({worker}) => worker)].map(([worker, group]) => ({
		worker, accelerators: group.flatMap(({accelerators}) => accelerators).toSorted((first, second) => first - second),
	}));
}
