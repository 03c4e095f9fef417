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

/** Cells with their places, the accelerators that are left, and the cells without a place. */
type Plan = Readonly<{ground: Occupancy; cells: readonly Cell[]; missing: readonly CellShape[]}>;

/** The layout of a zone before its first repair. */
export function createEmptyLayout(zone: ZoneName): Layout {
	return {
		zone, revision: 0, configurationRevision: 0, cells: [], unmet: [],
	};
}

/**
Maps every guaranteed cell of a zone to accelerators, moving as few cells as possible.

Cells stay where they are while their workers are present or absent for less than the delay. New cells and cells whose worker is gone take free accelerators; if none are adjacent, other cells are moved for them. Returns the previous layout itself if nothing changed.
*/
export function repairLayout(previous: Layout, configuration: Configuration, inventory: ZoneInventory, now: MonotonicTime): Layout {
	const wanted = listGuaranteedCells(configuration, inventory.zone);
	const {cells, unmet} = mapCells(previous.cells, wanted, inventory, {now, strategy: 'best-fit'});
	if (isSame(cells, previous.cells) && isSame(unmet, previous.unmet)) {
		return previous;
	}

	return {
		zone: inventory.zone, revision: previous.revision + 1, configurationRevision: configuration.revision, cells, unmet,
	};
}

/** Maps wanted cells to accelerators, starting from the cells that have a place. */
export function mapCells(
	previous: readonly Cell[],
	wanted: readonly GuaranteedCells[],
	inventory: ZoneInventory,
	{now, strategy}: Readonly<{now: MonotonicTime; strategy: CellStrategy}>,
): Readonly<Pick<Layout, 'cells' | 'unmet'>> {
	const ground = createOccupancy(inventory.workers);
	const awaited = new Set(inventory.absent.filter(({since}) => now - since < inventory.absenceDelay).map(({worker}) => worker));
	const repaired = moveForMissing(placeMissing(keepCells({ground, cells: [], missing: []}, {previous, wanted, awaited}), strategy), strategy);
	const plan = repaired.missing.length === 0 ? repaired : chooseBetter(repaired, repack(ground, {wanted, cells: repaired.cells, awaited}, strategy));
	return {
		cells: plan.cells.toSorted(compareCells),
		unmet: describeUnmet(plan),
	};
}

/** Keeps the cells that are still wanted and whose accelerators are there; lists the rest as missing. */
function keepCells(
	plan: Plan,
	{previous, wanted, awaited}: Readonly<{previous: readonly Cell[]; wanted: readonly GuaranteedCells[]; awaited: ReadonlySet<WorkerId>}>,
): Plan {
	const byShape = groupBy(previous, createShapeKey);
	const taken = new Set<string>();
	let {ground} = plan;
	const cells: Cell[] = [];
	const missing: CellShape[] = [];
	for (const {count, ...shape} of wanted) {
		let kept = 0;
		// A lowered guarantee gives up cells on absent workers first.
		const candidates = (byShape.get(createShapeKey(shape)) ?? []).toSorted((first, second) => countAwaited(first, awaited) - countAwaited(second, awaited));
		for (const cell of candidates) {
			if (kept < count && isStanding(cell, {ground, awaited, taken})) {
				ground = markParts(ground, cell.parts, false);
				for (const place of listPlaces(cell)) {
					taken.add(place);
				}

				cells.push(cell);
				kept++;
			}
		}

		missing.push(...Array.from({length: count - kept}, () => shape));
	}

	return {ground, cells, missing};
}

function countAwaited({parts}: Cell, awaited: ReadonlySet<WorkerId>): number {
	return parts.filter(({worker}) => awaited.has(worker)).length;
}

function isStanding(cell: Cell, {ground, awaited, taken}: Readonly<{ground: Occupancy; awaited: ReadonlySet<WorkerId>; taken: ReadonlySet<string>}>): boolean {
	const present = cell.parts.filter(({worker}) => ground.has(worker));
	const isComplete = cell.parts.every(({worker}) => ground.has(worker) || awaited.has(worker));
	const racks = new Set(present.map(({worker}) => ground.get(worker)?.rack));
	return isComplete
		&& arePartsFree(ground, present)
		&& (cell.adjacency !== 'rack' || racks.size <= 1)
		&& !listPlaces(cell).some(place => taken.has(place));
}

function listPlaces({parts}: Cell): readonly string[] {
	return parts.flatMap(({worker, accelerators}) => accelerators.map(index => `${worker} ${index}`));
}

/** What is left only shrinks here, so a shape without a place is not tried again for its next cell. */
function placeMissing(plan: Plan, strategy: CellStrategy): Plan {
	return plan.missing.toSorted(compareShapes).reduce<Plan>((current, shape) => {
		const isHopeless = current.missing.some(other => createShapeKey(other) === createShapeKey(shape));
		const parts = isHopeless ? undefined : chooseParts(current.ground, shape, strategy);
		return parts === undefined
			? {...current, missing: [...current.missing, shape]}
			: {...current, ground: markParts(current.ground, parts, false), cells: [...current.cells, {...shape, parts}]};
	}, {...plan, missing: []});
}

/** Moves cells for those without a place. Whether there is room does not depend on the plan, so each size is given up once. */
function moveForMissing(plan: Plan, strategy: CellStrategy): Plan {
	return plan.missing.reduce<Plan>((current, shape) => {
		const isHopeless = current.missing.some(other => other.adjacency === shape.adjacency && other.accelerators === shape.accelerators);
		const roomier = isHopeless ? undefined : makeRoom(current, shape, strategy);
		return roomier === undefined
			? {...current, missing: [...current.missing, shape]}
			: {...current, ...roomier};
	}, {...plan, missing: []});
}

/** Places every cell anew, except those that wait for an absent worker. */
function repack(
	ground: Occupancy,
	{wanted, cells, awaited}: Readonly<{wanted: readonly GuaranteedCells[]; cells: readonly Cell[]; awaited: ReadonlySet<WorkerId>}>,
	strategy: CellStrategy,
): Plan {
	const waiting = cells.filter(cell => countAwaited(cell, awaited) > 0);
	return placeMissing(keepCells({ground, cells: [], missing: []}, {previous: waiting, wanted, awaited}), strategy);
}

/** Moving every cell is worth it only if more accelerators are guaranteed afterwards. */
function chooseBetter(repaired: Plan, repacked: Plan): Plan {
	const countMissing = ({missing}: Plan) => missing.reduce((sum, {accelerators}) => sum + accelerators, 0);
	return countMissing(repacked) < countMissing(repaired) ? repacked : repaired;
}

function describeUnmet({ground, missing}: Plan): readonly UnmetCells[] {
	const free = countFree(ground.values());
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

/** Both lists are in a fixed order, and so are the members of their items. */
function isSame(first: readonly unknown[], second: readonly unknown[]): boolean {
	return JSON.stringify(first) === JSON.stringify(second);
}
