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

const placesOf = ({parts}: Cell) => parts.flatMap(({worker, accelerators}) => accelerators.map(index => `${worker} ${index}`));
const rackOf = new Map<string, string>(full.workers.map(({worker, rack}) => [worker, rack]));

function expectSound({cells, unmet}: Layout, {workers}: ZoneInventory, wanted: Guarantees): void {
	const places = cells.flatMap(placesOf);
	expect(new Set(places).size, 'no accelerator is in two cells').to.equal(places.length);
	const present = new Set<string>(workers.map(({worker}) => worker));
	for (const cell of cells) {
		const used = cell.parts.map(({worker}) => worker);
		expect(used.every(worker => present.has(worker)), 'cells are on present workers').to.be.true;
		expect(placesOf(cell).length).to.equal(cell.accelerators);
		if (cell.adjacency === 'worker') {
			expect(used.length).to.equal(1);
			expect(cell.parts[0]!.accelerators.at(-1)! - cell.parts[0]!.accelerators[0]!).to.equal(cell.accelerators - 1);
		} else if (cell.adjacency === 'rack') {
			expect(new Set(used.map(worker => rackOf.get(worker))).size).to.equal(1);
		}
	}

	const promised = Object.values(wanted).flat().reduce((sum, shape) => sum + shape[2], 0);
	expect(cells.length + unmet.reduce((sum, {count}) => sum + count, 0), 'each cell has a place or is unmet').to.equal(promised);
}

/** Cells whose workers stay must not move if the others fit beside them even when each takes a window of the largest size. */
function expectNoNeedlessMoves(before: Layout, after: Layout, {workers}: ZoneInventory): void {
	const present = new Set<string>(workers.map(({worker}) => worker));
	const standing = before.cells.filter(({parts}) => parts.every(({worker}) => present.has(worker)));
	const lost = [...before.cells.filter(cell => !standing.includes(cell)), ...before.unmet.flatMap(cells => Array.from({length: cells.count}, () => cells))];
	const largest = Math.max(1, ...lost.map(({accelerators}) => accelerators));
	const taken = new Set(standing.flatMap(placesOf));
	let room = 0;
	for (const {worker, accelerators} of workers) {
		for (let length = 0, index = 0; index < accelerators; index++) {
			length = taken.has(`${worker} ${index}`) ? 0 : length + 1;
			room += length > 0 && length % largest === 0 ? 1 : 0;
		}
	}

	if (lost.every(cell => cell.adjacency === 'worker') && room >= lost.length) {
		expect(after.cells.map(describeCell)).to.include.members(standing.map(describeCell));
	}
}

describe('properties of placement', () => {
	it('after any losses and returns cells do not overlap, keep their adjacency and move only if they must', () => {
		fastCheck.assert(fastCheck.property(guarantees, lossSteps, (wanted, steps) => {
			const configuration = createConfiguration(wanted);
			let layout = repairLayout(createEmptyLayout(zone), configuration, full, 0);
			expectSound(layout, full, wanted);
			for (const lost of steps) {
				const inventory = removeWorkers(full, lost, 0);
				const repaired = repairLayout(layout, configuration, inventory, 1);
				expectSound(repaired, inventory, wanted);
				expectNoNeedlessMoves(layout, repaired, inventory);
				expect(repaired.revision - layout.revision).to.equal(repaired === layout ? 0 : 1);
				layout = repaired;
			}
		}), parameters);
	});

	const hold = fastCheck.tuple(
		fastCheck.constantFrom('h1', 'h2', 'h3', 'h4'),
		fastCheck.constantFrom(...full.workers.map(({worker}) => worker as string)),
		fastCheck.subarray([0, 1, 2, 3, 4, 5, 6, 7], {minLength: 1}),
		fastCheck.boolean(),
		fastCheck.constantFrom('a', 'b', 'c'),
	);
	const request = fastCheck.record({
		size: fastCheck.tuple(fastCheck.integer({min: 1, max: 12}), fastCheck.integer({min: 1, max: 8})), near: adjacency, preemptible: fastCheck.boolean(),
	});

	it('a gang gets whole adjacent blocks, none twice, and only what its plan may take', () => {
		fastCheck.assert(fastCheck.property(guarantees, fastCheck.uniqueArray(hold, {selector: ([, worker]) => worker}), request, (wanted, holds, {size, near, preemptible}) => {
			const layout = repairLayout(createEmptyLayout(zone), createConfiguration(wanted), full, 0);
			const placement = placeGang(createView(full, layout, holds), createGang('a', size, near, preemptible));
			if (placement.kind !== 'placed') {
				return;
			}

			const evictions = new Set<string>(placement.evictions);
			const owners = new Map(layout.cells.flatMap(cell => placesOf(cell).map(place => [place, cell.plan as string])));
			const holders = new Map(holds.flatMap(([job, worker, held, isPreemptible, plan]) => held.map(index => [`${worker} ${index}`, {job, isPreemptible, plan}])));
			const places = placement.members.flatMap(({worker, accelerators}) => accelerators.map(index => `${worker} ${index}`));
			expect(new Set(places).size).to.equal(size[0] * size[1]);
			for (const {accelerators} of placement.members) {
				expect(accelerators.at(-1)! - accelerators[0]!).to.equal(size[1] - 1);
			}

			for (const place of places) {
				const isOwn = owners.get(place) === 'a';
				const holder = holders.get(place);
				const isReclaimed = holder !== undefined && holder.isPreemptible && holder.plan !== 'a' && isOwn && evictions.has(holder.job);
				expect(isOwn || preemptible || !owners.has(place), 'cells of others are only borrowed').to.be.true;
				expect(holder === undefined || isReclaimed, 'only borrowers of own cells make way').to.be.true;
			}

			const groups = new Set(placement.members.map(({worker}) => near === 'worker' ? worker : rackOf.get(worker)));
			expect(near === 'zone' || groups.size === 1, 'members are as close as the shape says').to.be.true;
		}), parameters);
	});
});
