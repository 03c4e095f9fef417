import type {Adjacency} from '#configuration';
import {
	createRandomSource, pickInteger, type PlanName, type ZoneName,
} from '#core';
import {
	mapCells, type Cell, type CellStrategy, type GuaranteedCells, type ZoneInventory,
} from '#placement';
import {createWorkers} from './scenarios.js';

const plans = 6;
const changes = 300;
/** Share of the accelerators that the guarantees may add up to. */
const limit = 0.85;
const sizes = [1, 2, 3, 4, 5, 6, 8] as const;
const adjacencies: readonly Adjacency[] = ['worker', 'worker', 'worker', 'rack'];

export type StrategyResult = Readonly<{
	/** Mean accelerators of cells without a place. */
	unmet: number;
	/** Cells that moved although their guarantee stayed, per change. */
	moved: number;
	/** Mean share of the accelerators without a cell that lie in whole free workers. */
	wholeWorkers: number;
}>;

/** Changes random guarantees of a zone one at a time and keeps the cells with one strategy. */
export function measureStrategy(strategy: CellStrategy, seed: number): StrategyResult {
	const random = createRandomSource(seed);
	const workers = createWorkers(10, 3, () => 8);
	const inventory: ZoneInventory = {
		zone: 'north-a' as ZoneName, workers, absent: [], absenceDelay: 0,
	};
	const total = workers.reduce((sum, {accelerators}) => sum + accelerators, 0);
	let wanted: readonly GuaranteedCells[] = [];
	let cells: readonly Cell[] = [];
	let unmet = 0;
	let moved = 0;
	let wholeWorkers = 0;
	for (let change = 0; change < changes; change++) {
		const plan = `p${pickInteger(random, plans)}` as PlanName;
		const others = wanted.filter(item => item.plan !== plan);
		const room = (total * limit) - others.reduce((sum, {accelerators, count}) => sum + (accelerators * count), 0);
		const accelerators = sizes[pickInteger(random, sizes.length)]!;
		const count = Math.min(Math.floor(room / accelerators), 1 + pickInteger(random, 5));
		const adjacency = adjacencies[pickInteger(random, adjacencies.length)]!;
		wanted = count === 0
			? others
			: [...others, {
				plan, accelerators, adjacency, count,
			}];
		const mapped = mapCells(cells, wanted, inventory, {now: 0, strategy});
		const kept = new Set(mapped.cells.map(cell => JSON.stringify(cell)));
		moved += cells.filter(cell => cell.plan !== plan && !kept.has(JSON.stringify(cell))).length;
		unmet += mapped.unmet.reduce((sum, item) => sum + (item.accelerators * item.count), 0);
		cells = mapped.cells;
		const used = new Set(cells.flatMap(({parts}) => parts.map(({worker}) => worker)));
		const taken = cells.reduce((sum, cell) => sum + cell.accelerators, 0);
		wholeWorkers += workers.filter(({worker}) => !used.has(worker)).length * 8 / (total - taken);
	}

	return {unmet: unmet / changes, moved: moved / changes, wholeWorkers: wholeWorkers / changes};
}
