import type {Configuration} from '#configuration';
import type {MonotonicTime, WorkerId, ZoneName} from '#core';
import {chooseParts} from './choose-parts.js';
import {
	compareText, countFree, createOccupancy, groupBy, arePartsFree, markParts, type Occupancy,
} from './occupancy.js';
import type {
	Cell, CellShape, CellStrategy, Layout, UnmetCells, ZoneInventory,
} from './layout-types.js';
import {makeRoom} from './make-room.js';
import {
	compareShapes, createShapeKey, listGuaranteedCells, type GuaranteedCells,
} from './guaranteed-cells.js';

/** Cells with their accelerators, the accelerators that are still free, and the cells that are not assigned yet. */
type LayoutDraft = Readonly<{occupancy: Occupancy; cells: readonly Cell[]; missing: readonly CellShape[]}>;

/** Creates the layout of a zone before its first repair. */
export function createEmptyLayout(zone: ZoneName): Layout {
	return {
		zone, revision: 0, configurationRevision: 0, cells: [], unmet: [],
	};
}

/**
Assigns accelerators to every guaranteed cell of a zone, moving as few cells as possible.

Cells do not move while their workers are present or have been absent for less than the delay. New cells and cells of lost workers are assigned free accelerators; if none are adjacent, other cells are moved to make room. Returns the previous layout object if nothing changed.
*/
export function repairLayout(previous: Layout, configuration: Configuration, inventory: ZoneInventory, now: MonotonicTime): Layout {
	const guaranteed = listGuaranteedCells(configuration, inventory.zone);
	const {cells, unmet} = mapCells(previous.cells, guaranteed, inventory, {now, strategy: 'best-fit'});
	if (isEqual(cells, previous.cells) && isEqual(unmet, previous.unmet)) {
		return previous;
	}

	return {
		zone: inventory.zone, revision: previous.revision + 1, configurationRevision: configuration.revision, cells, unmet,
	};
}

/** Assigns accelerators to the guaranteed cells, starting from the cells of the previous layout. */
export function mapCells(
	previous: readonly Cell[],
	guaranteed: readonly GuaranteedCells[],
	inventory: ZoneInventory,
	{now, strategy}: Readonly<{now: MonotonicTime; strategy: CellStrategy}>,
): Readonly<Pick<Layout, 'cells' | 'unmet'>> {
	const occupancy = createOccupancy(inventory.workers);
	const recentlyAbsent = new Set(inventory.absent.filter(({since}) => now - since < inventory.absenceDelay).map(({worker}) => worker));
	const repaired = moveForMissing(placeMissing(retainCells({occupancy, cells: [], missing: []}, {previous, guaranteed, recentlyAbsent}), strategy), strategy);
	const draft = repaired.missing.length === 0 ? repaired : chooseBetter(repaired, repack(occupancy, {guaranteed, cells: repaired.cells, recentlyAbsent}, strategy));
	return {
		cells: draft.cells.toSorted(compareCells),
		unmet: describeUnmet(draft),
	};
}

/** Retains the cells that are still guaranteed and whose accelerators are available; lists the rest as missing. */
function retainCells(
	draft: LayoutDraft,
	{previous, guaranteed, recentlyAbsent}: Readonly<{previous: readonly Cell[]; guaranteed: readonly GuaranteedCells[]; recentlyAbsent: ReadonlySet<WorkerId>}>,
): LayoutDraft {
	const byShape = groupBy(previous, createShapeKey);
	const retainedKeys = new Set<string>();
	let {occupancy} = draft;
	const cells: Cell[] = [];
	const missing: CellShape[] = [];
	for (const {count, ...shape} of guaranteed) {
		let retained = 0;
		// A lowered guarantee drops cells on absent workers first.
		const candidates = (byShape.get(createShapeKey(shape)) ?? []).toSorted((first, second) => countAbsentParts(first, recentlyAbsent) - countAbsentParts(second, recentlyAbsent));
		for (const cell of candidates) {
			if (retained < count && canRetain(cell, {occupancy, recentlyAbsent, retainedKeys})) {
				occupancy = markParts(occupancy, cell.parts, false);
				for (const key of listAcceleratorKeys(cell)) {
					retainedKeys.add(key);
				}

				cells.push(cell);
				retained++;
			}
		}

		missing.push(...Array.from({length: count - retained}, () => shape));
	}

	return {occupancy, cells, missing};
}

function countAbsentParts({parts}: Cell, recentlyAbsent: ReadonlySet<WorkerId>): number {
	return parts.filter(({worker}) => recentlyAbsent.has(worker)).length;
}

function canRetain(cell: Cell, {occupancy, recentlyAbsent, retainedKeys}: Readonly<{occupancy: Occupancy; recentlyAbsent: ReadonlySet<WorkerId>; retainedKeys: ReadonlySet<string>}>): boolean {
	const present = cell.parts.filter(({worker}) => occupancy.has(worker));
	const isComplete = cell.parts.every(({worker}) => occupancy.has(worker) || recentlyAbsent.has(worker));
	const racks = new Set(present.map(({worker}) => occupancy.get(worker)?.rack));
	return isComplete
		&& arePartsFree(occupancy, present)
		&& (cell.adjacency !== 'rack' || racks.size <= 1)
		&& !listAcceleratorKeys(cell).some(key => retainedKeys.has(key));
}

function listAcceleratorKeys({parts}: Cell): readonly string[] {
	return parts.flatMap(({worker, accelerators}) => accelerators.map(index => `${worker} ${index}`));
}

/** Free accelerators only become fewer here, so a shape that did not fit once is not tried again for its next cell. */
function placeMissing(draft: LayoutDraft, strategy: CellStrategy): LayoutDraft {
	return draft.missing.toSorted(compareShapes).reduce<LayoutDraft>((current, shape) => {
		const hasFailed = current.missing.some(other => createShapeKey(other) === createShapeKey(shape));
		const parts = hasFailed ? undefined : chooseParts(current.occupancy, shape, strategy);
		return parts === undefined
			? {...current, missing: [...current.missing, shape]}
			: {...current, occupancy: markParts(current.occupancy, parts, false), cells: [...current.cells, {...shape, parts}]};
	}, {...draft, missing: []});
}

/** Moves other cells to make room for missing ones. Whether there is room does not depend on the plan, so a size that failed is not tried again. */
function moveForMissing(draft: LayoutDraft, strategy: CellStrategy): LayoutDraft {
	return draft.missing.reduce<LayoutDraft>((current, shape) => {
		const hasFailed = current.missing.some(other => other.adjacency === shape.adjacency && other.accelerators === shape.accelerators);
		const rearranged = hasFailed ? undefined : makeRoom(current, shape, strategy);
		return rearranged === undefined
			? {...current, missing: [...current.missing, shape]}
			: {...current, ...rearranged};
	}, {...draft, missing: []});
}

/** Assigns every cell anew, except those on absent workers that may return. */
function repack(
	occupancy: Occupancy,
	{guaranteed, cells, recentlyAbsent}: Readonly<{guaranteed: readonly GuaranteedCells[]; cells: readonly Cell[]; recentlyAbsent: ReadonlySet<WorkerId>}>,
	strategy: CellStrategy,
): LayoutDraft {
	const cellsOnAbsentWorkers = cells.filter(cell => countAbsentParts(cell, recentlyAbsent) > 0);
	return placeMissing(retainCells({occupancy, cells: [], missing: []}, {previous: cellsOnAbsentWorkers, guaranteed, recentlyAbsent}), strategy);
}

/** Moving every cell is worthwhile only if more accelerators are guaranteed afterwards. */
function chooseBetter(repaired: LayoutDraft, repacked: LayoutDraft): LayoutDraft {
	const countMissing = ({missing}: LayoutDraft) => missing.reduce((sum, {accelerators}) => sum + accelerators, 0);
	return countMissing(repacked) < countMissing(repaired) ? repacked : repaired;
}

function describeUnmet({occupancy, missing}: LayoutDraft): readonly UnmetCells[] {
	const free = countFree(occupancy.values());
	return [...groupBy(missing, createShapeKey).values()].flatMap(group => group.slice(0, 1).map(shape => ({
		...shape,
		count: group.length,
		reason: free < shape.accelerators ? 'not-enough-accelerators' as const : 'no-adjacent-accelerators' as const,
	}))).toSorted(compareShapes);
}

function compareCells(first: Cell, second: Cell): number {
	return compareShapes(first, second)
		|| compareText(first.parts[0]!.worker, second.parts[0]!.worker)
		|| ((first.parts[0]!.accelerators[0] ?? 0) - (second.parts[0]!.accelerators[0] ?? 0));
}

/** Compares JSON, since both lists and the keys of their items are in a fixed order. */
function isEqual(first: readonly unknown[], second: readonly unknown[]): boolean {
	return JSON.stringify(first) === JSON.stringify(second);
}
