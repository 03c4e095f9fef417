import {expect} from 'chai';
import type {PlanName} from '#core';
import {
	createEmptyLayout, measureFragmentation, placeGang, repairLayout, type GangRequest, type ZoneView,
} from '#placement';
import {firstFitPolicy, layoutPolicy, twoPhasePolicy} from '../../bench/placement/policies.js';
import type {Decision, Policy} from '../../bench/placement/types.js';
import {
	createConfiguration, createGang, createInventory, createView, zone, type Guarantees, type HoldingEntry,
} from './support.js';

function createZoneView(workers: number, guarantees: Guarantees, holdings: readonly HoldingEntry[] = [], accelerators = 8): ZoneView {
	const inventory = createInventory(workers, accelerators);
	return createView(inventory, repairLayout(createEmptyLayout(zone), createConfiguration(guarantees), inventory, 0), holdings);
}

const createHoldingPerWorker = (job: string, workers: number, preemptible: boolean): readonly HoldingEntry[] =>
	Array.from({length: workers}, (_, index) => [`${job}${index}`, `w0${index + 1}`, [3], preemptible]);

type Case = Readonly<{name: string; view: ZoneView; gang: GangRequest; expected: string | RegExp}>;

const cases: readonly Case[] = [
	{
		name: 'a cell reserves an adjacent block, which a flat quota does not: of 22 free accelerators, no eight outside the cell are adjacent',
		view: createZoneView(3, {a: [['worker', 8, 1]]}, [['x', 'w02', [3], false], ['y', 'w03', [3], false]]),
		gang: createGang('a', [1, 8], 'worker'),
		expected: 'w01:0,1,2,3,4,5,6,7',
	},
	{
		name: 'free accelerators that are not adjacent are not enough without a cell',
		view: createZoneView(3, {}, createHoldingPerWorker('x', 3, false)),
		gang: createGang('a', [1, 8], 'worker'),
		expected: 'waiting',
	},
	{
		name: 'a borrower in the cell is evicted for the owner',
		view: createZoneView(3, {a: [['worker', 8, 1]]}, createHoldingPerWorker('x', 3, true)),
		gang: createGang('a', [1, 8], 'worker'),
		expected: 'w01:0,1,2,3,4,5,6,7 evicts x0',
	},
	{
		name: 'the owner uses free accelerators that no plan is guaranteed rather than evicting a borrower',
		view: createZoneView(3, {a: [['worker', 8, 1]]}, [['x', 'w01', [0], true]]),
		gang: createGang('a', [1, 8], 'worker'),
		expected: 'w02:0,1,2,3,4,5,6,7',
	},
	{
		name: 'a preemptible gang of the same plan is evicted, so that it does not block the guaranteed shape',
		view: createZoneView(1, {a: [['worker', 8, 1]]}, [['x', 'w01', [0], true, 'a']]),
		gang: createGang('a', [1, 8], 'worker'),
		expected: 'w01:0,1,2,3,4,5,6,7 evicts x',
	},
	{
		name: 'a gang with cells of its size does not split a larger cell of its plan while these are held',
		view: createZoneView(2, {a: [['worker', 8, 1], ['worker', 4, 2]]}, [['x', 'w02', [0, 1, 2, 3], false, 'a'], ['y', 'w02', [4, 5, 6, 7], false, 'a']]),
		gang: createGang('a', [1, 4], 'worker'),
		expected: 'waiting',
	},
	{
		name: 'a gang does not span its cell and free accelerators, which would split the cell for the next gang',
		view: createZoneView(1, {a: [['worker', 4, 1]]}, [['x', 'w01', [0], false, 'a'], ['y', 'w01', [6], false]]),
		gang: createGang('a', [1, 4], 'worker'),
		expected: 'waiting',
	},
	{
		name: 'as few borrowers as possible are evicted',
		view: createZoneView(1, {a: [['worker', 8, 1]]}, [['x', 'w01', [0], true], ['y', 'w01', [1, 2, 3], true], ['z', 'w01', [7], true]]),
		gang: createGang('a', [1, 4], 'worker'),
		expected: 'w01:4,5,6,7 evicts z',
	},
	{
		name: 'a non-preemptible gang never uses a cell of another plan',
		view: createZoneView(2, {b: [['worker', 8, 1]]}, [['x', 'w02', [0], false]]),
		gang: createGang('a', [1, 8], 'worker'),
		expected: 'waiting',
	},
	{
		name: 'a preemptible gang uses accelerators that no plan is guaranteed before it borrows',
		view: createZoneView(2, {b: [['worker', 8, 1]]}, [['x', 'w02', [0, 1, 2, 3, 4, 5], false]]),
		gang: createGang('a', [2, 2], 'zone', true),
		expected: 'w02:6,7 w01:0,1',
	},
	{
		name: 'a second borrower is placed in a cell that already has one, so that a reclaim of the other cell evicts nobody',
		view: createZoneView(2, {b: [['worker', 8, 2]]}, [['x', 'w02', [0], true]]),
		gang: createGang('a', [1, 2], 'worker', true),
		expected: 'w02:1,2',
	},
	{
		name: 'a small gang uses the shortest block, so that long blocks stay intact',
		view: createZoneView(3, {}, [['x', 'w02', [2, 3, 4, 5, 6, 7], false], ['y', 'w03', [4, 5, 6, 7], false]]),
		gang: createGang('a', [1, 2], 'zone'),
		expected: 'w02:0,1',
	},
	{
		name: 'a rack gang is placed in the rack with the fewest accelerators left afterwards',
		view: createZoneView(6, {}, [['x', 'w04', [0, 1, 2, 3, 4, 5, 6, 7], false]]),
		gang: createGang('a', [2, 8], 'rack'),
		expected: 'w05:0,1,2,3,4,5,6,7 w06:0,1,2,3,4,5,6,7',
	},
	{
		name: 'no member of a gang is placed when one of them does not fit',
		view: createZoneView(2, {}, [['x', 'w01', [0], false]]),
		gang: createGang('a', [2, 8], 'zone'),
		expected: 'waiting',
	},
	{
		name: 'a gang with more members than fit into any rack is impossible in one rack',
		view: createZoneView(6, {}),
		gang: createGang('a', [4, 8], 'rack'),
		expected: /one rack holds at most 3 members of 8/,
	},
	{
		name: 'a non-preemptible gang that only fits on cells of other plans is impossible',
		view: createZoneView(2, {b: [['worker', 8, 1]]}),
		gang: createGang('a', [2, 8], 'zone'),
		expected: /only preemptible jobs may borrow/,
	},
	{
		name: 'a shape is not reported as impossible before every worker has reported',
		view: {...createZoneView(2, {}), isComplete: false},
		gang: createGang('a', [4, 8], 'zone'),
		expected: 'waiting',
	},
	{
		name: 'a shape is not reported as impossible while a worker that it needs is absent',
		view: {...createZoneView(2, {}), absent: createZoneView(3, {}).workers.slice(2)},
		gang: createGang('a', [3, 8], 'zone'),
		expected: 'waiting',
	},
];

describe('gang placement', () => {
	for (const {name, view, gang, expected} of cases) {
		it(name, () => {
			const text = describePlacement(view, gang);
			if (typeof expected === 'string') {
				expect(text).to.equal(expected);
			} else {
				expect(text).to.match(expected);
			}

			expect(describePlacement({...view, workers: view.workers.toReversed()}, gang)).to.equal(text);
		});
	}

	it('all members of a gang of the maximum size, 256, are placed on different accelerators', () => {
		const placement = placeGang(createZoneView(99, {}), createGang('a', [256, 2], 'zone'));
		expect(placement.kind === 'placed' ? new Set(placement.members.map(({worker, accelerators}) => `${worker}:${accelerators.join(',')}`)) : new Set()).to.have.property('size', 256);
	});
});

function describePlacement(view: ZoneView, gang: GangRequest): string {
	const placement = placeGang(view, gang);
	switch (placement.kind) {
		case 'placed': {
			const members = placement.members.map(({worker, accelerators}) => `${worker}:${accelerators.join(',')}`);
			return [...members, ...(placement.evictions.length === 0 ? [] : ['evicts', ...placement.evictions])].join(' ');
		}

		case 'waiting': {
			return 'waiting';
		}

		case 'impossible': {
			return placement.detail;
		}
	}
}

type PolicyCase = Readonly<{policy: Policy; view: ZoneView; expected: Decision['kind']}>;

// Two workers with one borrower each leave 14 of 16 accelerators free: a quota of 8 is satisfied by count, but no block of 8 is free.
const fragmentedView = createZoneView(2, {a: [['worker', 8, 1]]}, createHoldingPerWorker('x', 2, true));
const policyCases: readonly PolicyCase[] = [
	{policy: firstFitPolicy, view: fragmentedView, expected: 'wait'},
	{policy: twoPhasePolicy, view: fragmentedView, expected: 'wait'},
	{policy: layoutPolicy, view: fragmentedView, expected: 'start'},
];

describe('guaranteed shape with enough free accelerators but no free adjacent block', () => {
	for (const {policy, view, expected} of policyCases) {
		it(`${policy.name}: ${expected}`, () => {
			const decision = policy.decide({view, quotas: new Map([['a' as PlanName, 8]])}, createGang('a', [1, 8], 'worker'));
			expect(decision.kind).to.equal(expected);
			expect(decision.evictions.length).to.equal(expected === 'start' ? 1 : 0);
		});
	}
});

type FragmentationCase = Readonly<{name: string; view: ZoneView; waiting: readonly GangRequest[]; expected: number}>;

const fragmentationCases: readonly FragmentationCase[] = [
	{
		name: 'fragmentation is 0 while no gang waits', view: createZoneView(2, {}), waiting: [], expected: 0,
	},
	{
		name: 'free accelerators in blocks that are too short for a member are not usable',
		view: createZoneView(2, {}, [['x', 'w01', [2, 3, 4, 5], false]]),
		waiting: [createGang('a', [1, 8], 'worker')],
		expected: 4 / 12,
	},
	{
		name: 'blocks that are long enough but too few for the gang are not usable',
		view: createZoneView(2, {}, [['x', 'w01', [0], false]]),
		waiting: [createGang('a', [2, 8], 'zone')],
		expected: 1,
	},
];

describe('fragmentation', () => {
	for (const {name, view, waiting, expected} of fragmentationCases) {
		it(name, () => {
			expect(measureFragmentation(view, waiting)).to.be.closeTo(expected, 1e-9);
		});
	}
});
