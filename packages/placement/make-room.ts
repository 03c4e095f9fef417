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

type Occupied = Readonly<{ground: Occupancy; cells: readonly Cell[]}>;

/** Cells to be moved away for a cell, and the place that they leave if it is a single window. */
type Trial = Readonly<{victims: readonly Cell[]; window?: CellPart}>;

/** Makes room for one cell by moving others, as few as can be found; undefined if they would not all have a place. */
export function makeRoom(occupied: Occupied, shape: CellShape, strategy: CellStrategy): Occupied | undefined {
	for (const trial of listTrials(occupied, shape).slice(0, maximumMoveCandidates)) {
		const moved = perform(occupied, shape, {...trial, strategy});
		if (moved !== undefined) {
			return moved;
		}
	}

	return undefined;
}

function perform({ground, cells}: Occupied, shape: CellShape, {victims, window, strategy}: Trial & Readonly<{strategy: CellStrategy}>): Occupied | undefined {
	const lifted = markParts(ground, victims.flatMap(({parts}) => parts), true);
	const parts = window === undefined ? chooseParts(lifted, shape, strategy) : [window];
	if (parts === undefined) {
		return undefined;
	}

	let current: Occupied = {ground: markParts(lifted, parts, false), cells: [...cells.filter(cell => !victims.includes(cell)), {...shape, parts}]};
	for (const {parts: _, ...victim} of victims.toSorted(compareShapes)) {
		const place = chooseParts(current.ground, victim, strategy);
		if (place === undefined) {
			return undefined;
		}

		current = {ground: markParts(current.ground, place, false), cells: [...current.cells, {...victim, parts: place}]};
	}

	return current;
}

function listTrials(occupied: Occupied, shape: CellShape): readonly Trial[] {
	switch (shape.adjacency) {
		case 'worker': {
			return listWindowTrials(occupied, shape.accelerators);
		}

		case 'rack': {
			const racks = groupBy(occupied.ground.values(), ({rack}) => rack);
			return sortTrials([...racks.values()].flatMap(workers => clearWorkers(occupied, workers, shape.accelerators)));
		}

		case 'zone': {
			return clearWorkers(occupied, [...occupied.ground.values()], shape.accelerators);
		}

		default: {
			return assertNever(shape.adjacency);
		}
	}
}

/** Every window of a worker, with the cells that lie in it. */
function listWindowTrials({ground, cells}: Occupied, accelerators: number): readonly Trial[] {
	const owners = new Map(cells.flatMap(cell => cell.parts.flatMap(part => part.accelerators.map(index => [`${part.worker} ${index}`, cell] as const))));
	const trials = [...ground.values()].flatMap(({worker, free}) => listIndexes(0, Math.max(0, free.length - accelerators + 1)).map(start => {
		const window = listIndexes(start, accelerators);
		const victims = new Set(window.flatMap(index => owners.get(`${worker} ${index}`) ?? []));
		return {victims: [...victims], window: {worker, accelerators: window}};
	}));
	return sortTrials(trials);
}

/** Lifts the cells with the most accelerators in the workers until enough are free. */
function clearWorkers({ground, cells}: Occupied, workers: readonly WorkerOccupancy[], accelerators: number): readonly Trial[] {
	const names = new Set(workers.map(({worker}) => worker));
	const countInside = ({parts}: Cell) => parts.reduce((sum, part) => sum + (names.has(part.worker) ? part.accelerators.length : 0), 0);
	const inside = cells
		.filter(cell => countInside(cell) > 0 && cell.parts.every(({worker}) => ground.has(worker)))
		.toSorted((first, second) => countInside(second) - countInside(first));
	const victims: Cell[] = [];
	let free = countFree(workers);
	for (const cell of inside) {
		if (free >= accelerators) {
			break;
		}

		victims.push(cell);
		free += countInside(cell);
	}

	return free >= accelerators && victims.length > 0 ? [{victims}] : [];
}

function sortTrials(trials: readonly Trial[]): readonly Trial[] {
	const scoreOf = ({victims}: Trial) => [victims.length, victims.reduce((sum, {accelerators}) => sum + accelerators, 0)];
	return trials.toSorted((first, second) => compareScores(scoreOf(first), scoreOf(second)));
}
