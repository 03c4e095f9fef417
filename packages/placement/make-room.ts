import {assertNever} from '#core';
import {chooseParts} from './choose-parts.js';
import {maximumMoveCandidates} from './constants.js';
import {
	compareScores, countFree, groupBy, listIndexes, markParts, type Occupancy, type WorkerOccupancy,
} from './occupancy.js';
import type {
	Cell, CellPart, CellShape, CellStrategy,
} from './layout-types.js';
import {compareShapes} from './guaranteed-cells.js';

type CellAssignment = Readonly<{occupancy: Occupancy; cells: readonly Cell[]}>;

/** Cells to be moved for a new cell. `window` is set if the new cell has to be in one worker. */
type MoveCandidate = Readonly<{displaced: readonly Cell[]; window?: CellPart}>;

/** Makes room for one cell by moving as few others as it can find; undefined if these would not all fit elsewhere. */
export function makeRoom(assignment: CellAssignment, shape: CellShape, strategy: CellStrategy): CellAssignment | undefined {
	for (const candidate of listMoveCandidates(assignment, shape).slice(0, maximumMoveCandidates)) {
		const moved = applyMove(assignment, shape, {...candidate, strategy});
		if (moved !== undefined) {
			return moved;
		}
	}

	return undefined;
}

function applyMove({occupancy, cells}: CellAssignment, shape: CellShape, {displaced, window, strategy}: MoveCandidate & Readonly<{strategy: CellStrategy}>): CellAssignment | undefined {
	const vacated = markParts(occupancy, displaced.flatMap(({parts}) => parts), true);
	const parts = window === undefined ? chooseParts(vacated, shape, strategy) : [window];
	if (parts === undefined) {
		return undefined;
	}

	let current: CellAssignment = {occupancy: markParts(vacated, parts, false), cells: [...cells.filter(cell => !displaced.includes(cell)), {...shape, parts}]};
	for (const {parts: _, ...displacedShape} of displaced.toSorted(compareShapes)) {
		const newParts = chooseParts(current.occupancy, displacedShape, strategy);
		if (newParts === undefined) {
			return undefined;
		}

		current = {occupancy: markParts(current.occupancy, newParts, false), cells: [...current.cells, {...displacedShape, parts: newParts}]};
	}

	return current;
}

function listMoveCandidates(assignment: CellAssignment, shape: CellShape): readonly MoveCandidate[] {
	switch (shape.adjacency) {
		case 'worker': {
			return listWindowCandidates(assignment, shape.accelerators);
		}

		case 'rack': {
			const racks = groupBy(assignment.occupancy.values(), ({rack}) => rack);
			return sortCandidates([...racks.values()].flatMap(workers => selectCellsToMove(assignment, workers, shape.accelerators)));
		}

		case 'zone': {
			return selectCellsToMove(assignment, [...assignment.occupancy.values()], shape.accelerators);
		}

		default: {
			return assertNever(shape.adjacency);
		}
	}
}

/** Lists every window of every worker, with the cells that overlap it. */
function listWindowCandidates({occupancy, cells}: CellAssignment, accelerators: number): readonly MoveCandidate[] {
	const owners = new Map(cells.flatMap(cell => cell.parts.flatMap(part => part.accelerators.map(index => [`${part.worker} ${index}`, cell] as const))));
	const candidates = [...occupancy.values()].flatMap(({worker, free}) => listIndexes(0, Math.max(0, free.length - accelerators + 1)).map(start => {
		const window = listIndexes(start, accelerators);
		const displaced = new Set(window.flatMap(index => owners.get(`${worker} ${index}`) ?? []));
		return {displaced: [...displaced], window: {worker, accelerators: window}};
	}));
	return sortCandidates(candidates);
}

/** Selects the cells with the most accelerators in the workers until moving them frees enough. */
function selectCellsToMove({occupancy, cells}: CellAssignment, workers: readonly WorkerOccupancy[], accelerators: number): readonly MoveCandidate[] {
	const names = new Set(workers.map(({worker}) => worker));
	const countInside = ({parts}: Cell) => parts.reduce((sum, part) => sum + (names.has(part.worker) ? part.accelerators.length : 0), 0);
	const inside = cells
		.filter(cell => countInside(cell) > 0 && cell.parts.every(({worker}) => occupancy.has(worker)))
		.toSorted((first, second) => countInside(second) - countInside(first));
	const displaced: Cell[] = [];
	let free = countFree(workers);
	for (const cell of inside) {
		if (free >= accelerators) {
			break;
		}

		displaced.push(cell);
		free += countInside(cell);
	}

	return free >= accelerators && displaced.length > 0 ? [{displaced}] : [];
}

function sortCandidates(candidates: readonly MoveCandidate[]): readonly MoveCandidate[] {
	const scoreOf = ({displaced}: MoveCandidate) => [displaced.length, displaced.reduce((sum, {accelerators}) => sum + accelerators, 0)];
	return candidates.toSorted((first, second) => compareScores(scoreOf(first), scoreOf(second)));
}
