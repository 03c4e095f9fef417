import {expect} from 'chai';
import {
	checkFeasibility, createEmptyLayout, repairLayout, type Layout, type ZoneInventory,
} from '#placement';
import {
	createConfiguration, createInventory, describeCells, removeWorkers, zone, type Guarantees,
} from './support.js';

type Change = Readonly<{inventory?: ZoneInventory; guarantees?: Guarantees; now?: number}>;

type RepairCase = Readonly<{
	name: string;
	inventory: ZoneInventory;
	guarantees: Guarantees;
	change: Change;
	/** How many cells of the first layout have to be in the second one, and how many there were. */
	retained: readonly [number, number];
	unmet?: readonly string[];
	unused?: readonly string[];
}>;

const sixWorkers = createInventory(6);

const repairCases: readonly RepairCase[] = [
	{
		name: 'a worker that restarts within the delay retains its cells, so that an ordinary restart moves nothing',
		inventory: sixWorkers,
		guarantees: {a: [['worker', 8, 3]], b: [['worker', 4, 4]]},
		change: {inventory: removeWorkers(sixWorkers, ['w01'], 0), now: 999},
		retained: [7, 7],
	},
	{
		name: 'only the cells of a worker that is absent for longer than the delay move',
		inventory: sixWorkers,
		guarantees: {a: [['worker', 8, 3]], b: [['worker', 4, 4]]},
		change: {inventory: removeWorkers(sixWorkers, ['w01'], 0), now: 1000},
		retained: [6, 7],
		unused: ['w01'],
	},
	{
		name: 'the loss of a rack moves its rack cell and its worker cells to another rack',
		inventory: sixWorkers,
		guarantees: {a: [['rack', 16, 1]], b: [['worker', 2, 2]]},
		change: {inventory: removeWorkers(sixWorkers, ['w01', 'w02', 'w03'], 0), now: 5000},
		retained: [0, 3],
		unused: ['w01', 'w02', 'w03'],
	},
	{
		name: 'cells that do not fit after the loss of a rack are listed as unmet with the reason instead of being dropped',
		inventory: sixWorkers,
		guarantees: {a: [['worker', 8, 5]]},
		change: {inventory: removeWorkers(sixWorkers, ['w04', 'w05', 'w06'], 0), now: 5000},
		retained: [3, 5],
		unmet: ['a 2 not-enough-accelerators'],
	},
	{
		name: 'a raised guarantee adds cells without moving the existing ones',
		inventory: sixWorkers,
		guarantees: {a: [['worker', 4, 3]], b: [['worker', 2, 2]]},
		change: {guarantees: {a: [['worker', 4, 6]], b: [['worker', 2, 2]]}},
		retained: [5, 5],
	},
	{
		name: 'a new cell that needs a whole worker moves one small cell when every worker holds one',
		inventory: createInventory(2),
		guarantees: {a: [['worker', 5, 2]]},
		change: {guarantees: {a: [['worker', 5, 1]], b: [['worker', 8, 1]]}},
		retained: [1, 2],
	},
	{
		name: 'a lowered guarantee drops only the surplus cells',
		inventory: sixWorkers,
		guarantees: {a: [['worker', 4, 5]]},
		change: {guarantees: {a: [['worker', 4, 2]]}},
		retained: [2, 5],
	},
	{
		name: 'a worker that returns with fewer accelerators loses the cells that do not fit any more',
		inventory: createInventory(2),
		guarantees: {a: [['worker', 8, 1]]},
		change: {inventory: {...createInventory(2), workers: createInventory(2).workers.map(worker => worker.worker === 'w01' ? {...worker, accelerators: 4} : worker)}},
		retained: [0, 1],
		unused: ['w01'],
	},
];

describe('layout repair', () => {
	for (const {name, inventory, guarantees, change, retained, unmet = [], unused = []} of repairCases) {
		it(name, () => {
			const before = repairLayout(createEmptyLayout(zone), createConfiguration(guarantees), inventory, 0);
			const {workers} = change.inventory ?? inventory;
			const after = repairLayout(before, createConfiguration(change.guarantees ?? guarantees, 2), change.inventory ?? inventory, change.now ?? 0);
			const remaining = describeCells(before).filter(cell => describeCells(after).includes(cell));
			expect(before.unmet).to.deep.equal([]);
			expect([remaining.length, before.cells.length]).to.deep.equal(retained);
			expect(describeUnmet(after)).to.deep.equal(unmet);
			expect(describeCells(after).filter(cell => unused.some(worker => cell.includes(worker)))).to.deep.equal([]);
			const shuffled = {...(change.inventory ?? inventory), workers: workers.toReversed()};
			expect(repairLayout(before, createConfiguration(change.guarantees ?? guarantees, 2), shuffled, change.now ?? 0)).to.deep.equal(after);
			expect(repairLayout(after, createConfiguration(change.guarantees ?? guarantees, 3), shuffled, change.now ?? 0)).to.equal(after);
		});
	}
});

function describeUnmet({unmet}: Layout): readonly string[] {
	return unmet.map(({plan, count, reason}) => `${plan} ${count} ${reason}`);
}

type FeasibilityCase = Readonly<{name: string; guarantees: Guarantees; inventory?: ZoneInventory; expected: ReadonlyArray<readonly [string, RegExp]>}>;

const feasibilityCases: readonly FeasibilityCase[] = [
	{
		name: 'a cell larger than any worker is rejected although the zone has enough accelerators',
		guarantees: {a: [['worker', 9, 1]]},
		expected: [['allowances[0].guarantees[0]', /1 cell of 9 accelerators in one worker for plan a.*no worker has that many adjacent ones left/]],
	},
	{
		name: 'of guarantees whose sum exceeds the zone, the one that does not fit is rejected',
		guarantees: {a: [['worker', 8, 6]], b: [['zone', 1, 1]]},
		expected: [['allowances[1].guarantees[0]', /of the 48 accelerators of zone north-a, too few are left/]],
	},
	{
		name: 'guarantees whose sum fits are rejected when their shapes do not fit together',
		guarantees: {a: [['worker', 5, 6]], b: [['worker', 4, 1]]},
		expected: [['allowances[1].guarantees[0]', /no worker has that many/]],
	},
	{name: 'shapes that fill the zone exactly are accepted', guarantees: {a: [['rack', 24, 1]], b: [['worker', 5, 3]], c: [['worker', 3, 3]]}, expected: []},
	{
		name: 'absent workers count, so that a configuration is not rejected because of a temporary loss',
		guarantees: {a: [['worker', 8, 6]]},
		inventory: removeWorkers(sixWorkers, ['w01', 'w02', 'w03'], 0),
		expected: [],
	},
];

describe('feasibility of guarantees', () => {
	for (const {name, guarantees, inventory = sixWorkers, expected} of feasibilityCases) {
		it(name, () => {
			const findings = checkFeasibility(createConfiguration(guarantees), inventory);
			expect(findings.map(({place}) => place)).to.deep.equal(expected.map(([place]) => place));
			for (const [position, {message}] of findings.entries()) {
				expect(message).to.match(expected[position]![1]);
			}
		});
	}
});
