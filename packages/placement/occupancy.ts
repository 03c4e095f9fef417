import type {PlanName, RackName, WorkerId} from '#core';
import type {CellPart, InventoryWorker} from './layout-types.js';

/** Which accelerators of one worker are in no cell. */
export type WorkerOccupancy = Readonly<{worker: WorkerId; rack: RackName; free: readonly boolean[]; pinned: InventoryWorker['pinned']}>;

/** Which accelerators of a zone are in no cell, by worker. */
export type Occupancy = ReadonlyMap<WorkerId, WorkerOccupancy>;

/** Consecutive accelerator indexes. */
export type IndexRange = Readonly<{start: number; length: number}>;

/** Creates the occupancy of an inventory without cells, ordered by worker name. */
export function createOccupancy(workers: readonly InventoryWorker[]): Occupancy {
	const sorted = workers.toSorted((first, second) => compareText(first.worker, second.worker));
	return new Map(sorted.map(({worker, rack, accelerators, pinned}) => [
		worker, {
			worker, rack, pinned, free: Array.from({length: accelerators}, () => true),
		},
	]));
}

/** Marks parts as occupied or free. Parts on workers that are not in the inventory are ignored. */
export function markParts(occupancy: Occupancy, parts: readonly CellPart[], isFree: boolean): Occupancy {
	const marked = new Map(occupancy);
	for (const {worker, accelerators} of parts) {
		const current = marked.get(worker);
		if (current !== undefined) {
			const changed = new Set<number>(accelerators);
			marked.set(worker, {...current, free: current.free.map((free, index) => changed.has(index) ? isFree : free)});
		}
	}

	return marked;
}

/** Excludes the accelerators that non-preemptible gangs of other plans hold. */
export function withoutPinned(occupancy: Occupancy, plan: PlanName): Occupancy {
	if ([...occupancy.values()].every(({pinned}) => pinned.every(holding => holding.plan === plan))) {
		return occupancy;
	}

	return new Map([...occupancy].map(([worker, current]) => {
		const pinned = new Set<number>(current.pinned.filter(holding => holding.plan !== plan).flatMap(({accelerators}) => accelerators));
		return [worker, pinned.size === 0 ? current : {...current, free: current.free.map((free, index) => free && !pinned.has(index))}];
	}));
}

/** Whether every accelerator of the parts is free. */
export function arePartsFree(occupancy: Occupancy, parts: readonly CellPart[]): boolean {
	return parts.every(({worker, accelerators}) => accelerators.every(index => occupancy.get(worker)?.free[index] === true));
}

export function countFree(workers: Iterable<WorkerOccupancy>): number {
	let count = 0;
	for (const {free} of workers) {
		count += free.filter(Boolean).length;
	}

	return count;
}

/**
Lists the maximal ranges of consecutive indexes whose items pass a test.

@example
```
listRanges([true, true, false, true], Boolean);
//=> [{start: 0, length: 2}, {start: 3, length: 1}]
```
*/
export function listRanges<Item>(items: readonly Item[], isIncluded: (item: Item) => boolean): readonly IndexRange[] {
	const ranges: IndexRange[] = [];
	let start = 0;
	for (let index = 0; index <= items.length; index++) {
		if (index === items.length || !isIncluded(items[index]!)) {
			if (index > start) {
				ranges.push({start, length: index - start});
			}

			start = index + 1;
		}
	}

	return ranges;
}

export function listIndexes(start: number, length: number): readonly number[] {
	return Array.from({length}, (_, offset) => start + offset);
}

/** Compares by code units, so that the order is the same in every process. */
export function compareText(first: string, second: string): number {
	if (first === second) {
		return 0;
	}

	return first < second ? -1 : 1;
}

/** Compares scores lexicographically; the lower score is better. */
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
