import {expect} from 'chai';
import * as fastCheck from 'fast-check';
import {
	createEmptyLayout, placeGang, repairLayout, type Cell, type Layout, type ZoneInventory,
} from '#placement';
import {
	createConfiguration, createGang, createInventory, createView, describeCell, removeWorkers, zone, type Guarantees,
} from './support.js';

const parameters = {seed: 16, numRuns: 200};
const full = createInventory(9, 8, 0);
const adjacency = fastCheck.constantFrom('worker' as const, 'rack' as const, 'zone' as const);
const guaranteesOfPlan = fastCheck.array(fastCheck.tuple(adjacency, fastCheck.integer({min: 1, max: 8}), fastCheck.integer({min: 1, max: 3})), {maxLength: 2});
const guarantees = fastCheck.record({a: guaranteesOfPlan, b: guaranteesOfPlan, c: guaranteesOfPlan});
const lossSteps = fastCheck.array(fastCheck.subarray(full.workers.map(({worker}) => worker), {maxLength: 4}), {minLength: 1, maxLength: 6});

const listAcceleratorKeys = ({parts}: Cell) => parts.flatMap(({worker, accelerators}) => accelerators.map(index => `${worker} ${index}`));
const rackOf = new Map<string, string>(full.workers.map(({worker, rack}) => [worker, rack]));

function expectValidLayout({cells, unmet}: Layout, {workers}: ZoneInventory, guaranteed: Guarantees): void {
	const keys = cells.flatMap(listAcceleratorKeys);
	expect(new Set(keys).size, 'no accelerator is in two cells').to.equal(keys.length);
	const present = new Set<string>(workers.map(({worker}) => worker));
	for (const cell of cells) {
		const used = cell.parts.map(({worker}) => worker);
		expect(used.every(worker => present.has(worker)), 'cells are on present workers').to.be.true;
		expect(listAcceleratorKeys(cell).length).to.equal(cell.accelerators);
		if (cell.adjacency === 'worker') {
			expect(used.length).to.equal(1);
			expect(cell.parts[0]!.accelerators.at(-1)! - cell.parts[0]!.accelerators[0]!).to.equal(cell.accelerators - 1);
		} else if (cell.adjacency === 'rack') {
			expect(new Set(used.map(worker => rackOf.get(worker))).size).to.equal(1);
		}
	}

	const guaranteedCount = Object.values(guaranteed).flat().reduce((sum, shape) => sum + shape[2], 0);
	expect(cells.length + unmet.reduce((sum, {count}) => sum + count, 0), 'each cell is assigned or unmet').to.equal(guaranteedCount);
}

/** Cells on present workers must not move if the others fit beside them even when each uses a window of the largest size. */
function expectNoUnnecessaryMoves(before: Layout, after: Layout, {workers}: ZoneInventory): void {
	const present = new Set<string>(workers.map(({worker}) => worker));
	const unaffected = before.cells.filter(({parts}) => parts.every(({worker}) => present.has(worker)));
	const affected = [...before.cells.filter(cell => !unaffected.includes(cell)), ...before.unmet.flatMap(cells => Array.from({length: cells.count}, () => cells))];
	const largest = Math.max(1, ...affected.map(({accelerators}) => accelerators));
	const occupied = new Set(unaffected.flatMap(listAcceleratorKeys));
	let windowCount = 0;
	for (const {worker, accelerators} of workers) {
		for (let length = 0, index = 0; index < accelerators; index++) {
			length = occupied.has(`${worker} ${index}`) ? 0 : length + 1;
			windowCount += length > 0 && length % largest === 0 ? 1 : 0;
		}
	}

	if (affected.every(cell => cell.adjacency === 'worker') && windowCount >= affected.length) {
		expect(after.cells.map(describeCell)).to.include.members(unaffected.map(describeCell));
	}
}

describe('placement properties', () => {
	it('after workers leave and return, cells do not overlap, satisfy their adjacency and move only if necessary', () => {
		fastCheck.assert(fastCheck.property(guarantees, lossSteps, (guaranteed, steps) => {
			const configuration = createConfiguration(guaranteed);
			let layout = repairLayout(createEmptyLayout(zone), configuration, full, 0);
			expectValidLayout(layout, full, guaranteed);
			for (const lost of steps) {
				const inventory = removeWorkers(full, lost, 0);
				const repaired = repairLayout(layout, configuration, inventory, 1);
				expectValidLayout(repaired, inventory, guaranteed);
				expectNoUnnecessaryMoves(layout, repaired, inventory);
				expect(repaired.revision - layout.revision).to.equal(repaired === layout ? 0 : 1);
				layout = repaired;
			}
		}), parameters);
	});

	const holding = fastCheck.tuple(
		fastCheck.constantFrom('h1', 'h2', 'h3', 'h4'),
		fastCheck.constantFrom(...full.workers.map(({worker}) => worker as string)),
		fastCheck.subarray([0, 1, 2, 3, 4, 5, 6, 7], {minLength: 1}),
		fastCheck.boolean(),
		fastCheck.constantFrom('a', 'b', 'c'),
	);
	const request = fastCheck.record({
		size: fastCheck.tuple(fastCheck.integer({min: 1, max: 12}), fastCheck.integer({min: 1, max: 8})), gangAdjacency: adjacency, preemptible: fastCheck.boolean(),
	});

	it('a gang gets adjacent accelerators, none twice, and only those that its plan may use', () => {
		fastCheck.assert(fastCheck.property(guarantees, fastCheck.uniqueArray(holding, {selector: ([, worker]) => worker}), request, (guaranteed, holdings, {size, gangAdjacency, preemptible}) => {
			const layout = repairLayout(createEmptyLayout(zone), createConfiguration(guaranteed), full, 0);
			const placement = placeGang(createView(full, layout, holdings), createGang('a', size, gangAdjacency, preemptible));
			if (placement.kind !== 'placed') {
				return;
			}

			const evictions = new Set<string>(placement.evictions);
			const owners = new Map(layout.cells.flatMap(cell => listAcceleratorKeys(cell).map(key => [key, cell.plan as string])));
			const holders = new Map(holdings.flatMap(([job, worker, held, isPreemptible, plan]) => held.map(index => [`${worker} ${index}`, {job, isPreemptible, plan}])));
			const keys = placement.members.flatMap(({worker, accelerators}) => accelerators.map(index => `${worker} ${index}`));
			expect(new Set(keys).size).to.equal(size[0] * size[1]);
			for (const {accelerators} of placement.members) {
				expect(accelerators.at(-1)! - accelerators[0]!).to.equal(size[1] - 1);
			}

			for (const key of keys) {
				const isOwn = owners.get(key) === 'a';
				const holder = holders.get(key);
				const isReclaimed = holder !== undefined && holder.isPreemptible && holder.plan !== 'a' && isOwn && evictions.has(holder.job);
				expect(isOwn || preemptible || !owners.has(key), 'cells of other plans are only borrowed').to.be.true;
				expect(holder === undefined || isReclaimed, 'only borrowers of own cells are evicted').to.be.true;
			}

			const groups = new Set(placement.members.map(({worker}) => gangAdjacency === 'worker' ? worker : rackOf.get(worker)));
			expect(gangAdjacency === 'zone' || groups.size === 1, 'members satisfy the adjacency of the shape').to.be.true;
		}), parameters);
	});
});
