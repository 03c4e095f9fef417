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

function viewOf(workers: number, guarantees: Guarantees, holds: readonly HoldingEntry[] = [], accelerators = 8): ZoneView {
	const inventory = createInventory(workers, accelerators);
	return createView(inventory, repairLayout(createEmptyLayout(zone), createConfiguration(guarantees), inventory, 0), holds);
}

const oneOfEach = (job: string, workers: number, preemptible: boolean): readonly HoldingEntry[] =>
	Array.from({length: workers}, (_, index) => [`${job}${index}`, `w0${index + 1}`, [3], preemptible]);

type Case = Readonly<{name: string; view: ZoneView; gang: GangRequest; expected: string | RegExp}>;

const cases: readonly Case[] = [
	{
		name: 'the cell keeps a block whole where a flat quota only counts: 22 free accelerators, and no eight adjacent outside the cell',
		view: viewOf(3, {a: [['worker', 8, 1]]}, [['x', 'w02', [3], false], ['y', 'w03', [3], false]]),
		gang: createGang('a', [1, 8], 'worker'),
		expected: 'w01:0,1,2,3,4,5,6,7',
	},
	{
		name: 'free accelerators that are not adjacent are not enough without a cell',
		view: viewOf(3, {}, oneOfEach('x', 3, false)),
		gang: createGang('a', [1, 8], 'worker'),
		expected: 'waiting',
	},
	{
		name: 'a borrower in the cell is evicted for the owner',
		view: viewOf(3, {a: [['worker', 8, 1]]}, oneOfEach('x', 3, true)),
		gang: createGang('a', [1, 8], 'worker'),
		expected: 'w01:0,1,2,3,4,5,6,7 evicts x0',
	},
	{
		name: 'the owner waits rather than evicting when free accelerators nobody is guaranteed will do',
		view: viewOf(3, {a: [['worker', 8, 1]]}, [['x', 'w01', [0], true]]),
		gang: createGang('a', [1, 8], 'worker'),
		expected: 'w02:0,1,2,3,4,5,6,7',
	},
	{
		name: 'a preemptible gang of the same plan makes way, or it would keep its plan from the guaranteed shape',
		view: viewOf(1, {a: [['worker', 8, 1]]}, [['x', 'w01', [0], true, 'a']]),
		gang: createGang('a', [1, 8], 'worker'),
		expected: 'w01:0,1,2,3,4,5,6,7 evicts x',
	},
	{
		name: 'a gang with cells of its size leaves the larger cell of its plan whole while its own are held',
		view: viewOf(2, {a: [['worker', 8, 1], ['worker', 4, 2]]}, [['x', 'w02', [0, 1, 2, 3], false, 'a'], ['y', 'w02', [4, 5, 6, 7], false, 'a']]),
		gang: createGang('a', [1, 4], 'worker'),
		expected: 'waiting',
	},
	{
		name: 'a gang does not straddle its cell and free accelerators, which would break the cell for the next gang',
		view: viewOf(1, {a: [['worker', 4, 1]]}, [['x', 'w01', [0], false, 'a'], ['y', 'w01', [6], false]]),
		gang: createGang('a', [1, 4], 'worker'),
		expected: 'waiting',
	},
	{
		name: 'as few borrowers as possible are evicted',
		view: viewOf(1, {a: [['worker', 8, 1]]}, [['x', 'w01', [0], true], ['y', 'w01', [1, 2, 3], true], ['z', 'w01', [7], true]]),
		gang: createGang('a', [1, 4], 'worker'),
		expected: 'w01:4,5,6,7 evicts z',
	},
	{
		name: 'a gang that may not be preempted never takes a cell of another plan',
		view: viewOf(2, {b: [['worker', 8, 1]]}, [['x', 'w02', [0], false]]),
		gang: createGang('a', [1, 8], 'worker'),
		expected: 'waiting',
	},
	{
		name: 'a preemptible gang borrows, and does so where nobody is guaranteed first',
		view: viewOf(2, {b: [['worker', 8, 1]]}, [['x', 'w02', [0, 1, 2, 3, 4, 5], false]]),
		gang: createGang('a', [2, 2], 'zone', true),
		expected: 'w02:6,7 w01:0,1',
	},
	{
		name: 'a second borrower goes to the cell that a borrower is in already, so that the reclaim of the other evicts nobody',
		view: viewOf(2, {b: [['worker', 8, 2]]}, [['x', 'w02', [0], true]]),
		gang: createGang('a', [1, 2], 'worker', true),
		expected: 'w02:1,2',
	},
	{
		name: 'a small gang takes the shortest block and leaves the long ones whole',
		view: viewOf(3, {}, [['x', 'w02', [2, 3, 4, 5, 6, 7], false], ['y', 'w03', [4, 5, 6, 7], false]]),
		gang: createGang('a', [1, 2], 'zone'),
		expected: 'w02:0,1',
	},
	{
		name: 'a rack gang goes to the rack with the least left after it',
		view: viewOf(6, {}, [['x', 'w04', [0, 1, 2, 3, 4, 5, 6, 7], false]]),
		gang: createGang('a', [2, 8], 'rack'),
		expected: 'w05:0,1,2,3,4,5,6,7 w06:0,1,2,3,4,5,6,7',
	},
	{
		name: 'no part of a gang is placed when one member has no room',
		view: viewOf(2, {}, [['x', 'w01', [0], false]]),
		gang: createGang('a', [2, 8], 'zone'),
		expected: 'waiting',
	},
	{
		name: 'a gang of more members than any rack holds can never run in one rack',
		view: viewOf(6, {}),
		gang: createGang('a', [4, 8], 'rack'),
		expected: /one rack holds at most 3 members of 8/,
	},
	{
		name: 'a gang that only fits on the guarantees of others can never run unless it may be preempted',
		view: viewOf(2, {b: [['worker', 8, 1]]}),
		gang: createGang('a', [2, 8], 'zone'),
		expected: /only preemptible jobs may borrow/,
	},
	{
		name: 'a shape is not called impossible before every worker has been heard of',
		view: {...viewOf(2, {}), isComplete: false},
		gang: createGang('a', [4, 8], 'zone'),
		expected: 'waiting',
	},
	{
		name: 'a shape is not called impossible while the worker that could hold it restarts',
		view: {...viewOf(2, {}), absent: viewOf(3, {}).workers.slice(2)},
		gang: createGang('a', [3, 8], 'zone'),
		expected: 'waiting',
	},
];

describe('placement of a gang', () => {
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

	it('a gang of 256 members is placed whole', () => {
		const placement = placeGang(viewOf(99, {}), createGang('a', [256, 2], 'zone'));
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

type NaiveCase = Readonly<{policy: Policy; view: ZoneView; expected: Decision['kind']}>;

// Two workers with one borrower each leave 14 free accelerators of 16: a quota of 8 is satisfied by count, and no block of 8 is left.
const scattered = viewOf(2, {a: [['worker', 8, 1]]}, oneOfEach('x', 2, true));
const naiveCases: readonly NaiveCase[] = [
	{policy: firstFitPolicy, view: scattered, expected: 'wait'},
	{policy: twoPhasePolicy, view: scattered, expected: 'wait'},
	{policy: layoutPolicy, view: scattered, expected: 'start'},
];

describe('guaranteed shape whose sum is free while no adjacent block is', () => {
	for (const {policy, view, expected} of naiveCases) {
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
		name: 'nothing is wasted while nothing waits', view: viewOf(2, {}), waiting: [], expected: 0,
	},
	{
		name: 'free accelerators beside a short block are not counted as usable',
		view: viewOf(2, {}, [['x', 'w01', [2, 3, 4, 5], false]]),
		waiting: [createGang('a', [1, 8], 'worker')],
		expected: 4 / 12,
	},
	{
		name: 'blocks that are long enough but too few for the gang are not usable',
		view: viewOf(2, {}, [['x', 'w01', [0], false]]),
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
