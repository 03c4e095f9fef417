import type {PlanName, RackName, WorkerId} from '#core';
import type {CellPart, InventoryWorker} from './layout-types.js';

/** Accelerators of one worker without a cell. */
export type WorkerOccupancy = Readonly<{worker: WorkerId; rack: RackName; free: readonly boolean[]; pinned: InventoryWorker['pinned']}>;

/** Accelerators of a zone without a cell, by worker. */
export type Occupancy = ReadonlyMap<WorkerId, WorkerOccupancy>;

/** Neighbouring accelerators that are all free. */
export type IndexRange = Readonly<{start: number; length: number}>;

/** The ground of an inventory without any cell, in the order of worker names. */
export function createOccupancy(workers: readonly InventoryWorker[]): Occupancy {
	const sorted = workers.toSorted((first, second) => compareText(first.worker, second.worker));
	return new Map(sorted.map(({worker, rack, accelerators, pinned}) => [
		worker, {
			worker, rack, pinned, free: Array.from({length: accelerators}, () => true),
		},
	]));
}

/** Marks parts as taken or free. Parts on workers that are not in the ground are passed over. */
export function markParts(ground: Occupancy, parts: readonly CellPart[], isFree: boolean): Occupancy {
	const marked = new Map(ground);
	for (const {worker, accelerators} of parts) {
		const known = marked.get(worker);
		if (known !== undefined) {
			const changed = new Set<number>(accelerators);
			marked.set(worker, {...known, free: known.free.map((free, index) => changed.has(index) ? isFree : free)});
		}
	}

	return marked;
}

/** Takes away the accelerators that gangs of other plans hold and may keep. */
export function withoutPinned(ground: Occupancy, plan: PlanName): Occupancy {
	if ([...ground.values()].every(({pinned}) => pinned.every(holding => holding.plan === plan))) {
		return ground;
	}

	return new Map([...ground].map(([worker, known]) => {
		const pinned = new Set<number>(known.pinned.filter(holding => holding.plan !== plan).flatMap(({accelerators}) => accelerators));
		return [worker, pinned.size === 0 ? known : {...known, free: known.free.map((free, index) => free && !pinned.has(index))}];
	}));
}

/** Tells whether every part lies on free accelerators of the ground. */
export function arePartsFree(ground: Occupancy, parts: readonly CellPart[]): boolean {
	return parts.every(({worker, accelerators}) => accelerators.every(index => ground.get(worker)?.free[index] === true));
}

export function countFree(workers: Iterable<WorkerOccupancy>): number {
	let count = 0;
	for (const {free} of workers) {
		count += free.filter(Boolean).length;
	}

	return count;
}

/**
Lists the longest runs of indexes that pass a test.

@example
```
listRuns([true, true, false, true], Boolean);
//=> [{start: 0, length: 2}, {start: 3, length: 1}]
```
*/
export function listRanges<Item>(items: readonly Item[], isIncluded: (item: Item) => boolean): readonly IndexRange[] {
	const runs: IndexRange[] = [];
	let start = 0;
	for (let index = 0; index <= items.length; index++) {
		if (index === items.length || !isIncluded(items[index]!)) {
			if (index > start) {
				runs.push({start, length: index - start});
			}

			start = index + 1;
		}
	}

	return runs;
}

export function listIndexes(start: number, length: number): readonly number[] {
	return Array.from({length}, (_, offset) => start + offset);
}

/** Order of code units, the same in every process. */
export function compareText(first: string, second: string): number {
	if (first === second) {
		return 0;
	}

	return first < second ? -1 : 1;
}

/** Compares scores number by number; the lower one is better. */
export function compareScores(first: readonly number[], second: readonly number[]): number {
	for (const [index, value] of first.entries()) {
		const difference = value - (second[index] ?? 0);
		if (difference !== 0) {
			return difference;
		}
	}

	return 0;
}

/** Groups items by a key, keeping their order. */
export function groupBy<Key, Item>(items: Iterable<Item>, keyOf: (item: Item) => Key): ReadonlyMap<Key, readonly Item[]> {
	const groups = new Map<Key, Item[]>();
	for (const item of items) {
		const key = keyOf(item);
		const group = groups.get(key);
		if (group === undefined) {
			groups.set(key, [item]);
		} else {
			group.push(item);
		}
	}

	return groups;
}
