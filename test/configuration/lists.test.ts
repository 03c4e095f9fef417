import {expect} from 'chai';
import {
	describeDifferences, formatDifference, validateLists, listsSchema, type Lists,
} from '#configuration';
import {checkInput} from '#core';

type ValidationCase = Readonly<{name: string; lists: unknown; findings: ReadonlyArray<Readonly<{place: string; message: string}>>}>;

const guarantee = {
	zone: 'north-a', adjacency: 'worker', accelerators: 8, count: 2,
};

const validationCases: readonly ValidationCase[] = [
	{
		name: 'consistent lists have no findings',
		lists: {plans: [{name: 'domes'}], allowances: [{plan: 'domes', guarantees: [guarantee], maximumAccelerators: 16}]},
		findings: [],
	},
	{
		name: 'findings of fields and between lists are returned together (one round trip per mistake)',
		lists: {
			plans: [{name: 'domes', weight: 0}, {name: 'domes'}, {name: 'layouts'}],
			allowances: [
				{plan: 'domes', guarantees: [guarantee, guarantee], maximumAccelerators: 31}, {plan: 'domes'}, {plan: 'rosters', maximumSlot: 4},
			],
		},
		findings: [
			{place: 'plans[0].weight', message: 'must be at least 1'},
			{place: 'allowances[2].maximumSlot', message: 'Invalid key: Expected never but received "maximumSlot"'},
			{place: 'plans[1].name', message: '"domes" is also at plans[0].name'},
			{place: 'allowances[1].plan', message: '"domes" is also at allowances[0].plan'},
			{place: 'plans[2].name', message: 'plan "layouts" has no allowance'},
			{place: 'allowances[2].plan', message: 'plan "rosters" is not in the list of plans'},
			{place: 'allowances[0].maximumAccelerators', message: 'is 31, but the guarantees add up to 32 accelerators'},
			{place: 'allowances[0].guarantees[1]', message: '"8 accelerators in one worker of north-a" is also at allowances[0].guarantees[0]'},
		],
	},
	{
		name: 'lists that exceed the size limit of the store are rejected before the write',
		lists: {plans: [], allowances: [], comment: 'x'.repeat(1_000_000)},
		findings: [
			{place: 'comment', message: 'Invalid key: Expected never but received "comment"'},
			{place: 'lists', message: 'take 1000041 bytes, more than 950000'},
		],
	},
	{
		name: 'input without any lists yields a finding, not an exception',
		lists: 'plans',
		findings: [{place: 'lists', message: 'Invalid type: Expected Object but received "plans"'}],
	},
];

type DifferenceCase = Readonly<{name: string; before: unknown; after: unknown; lines: readonly string[]}>;

const differenceCases: readonly DifferenceCase[] = [
	{
		name: 'the order of elements is ignored',
		before: {plans: [{name: 'a'}, {name: 'b'}], allowances: []},
		after: {plans: [{name: 'b'}, {name: 'a'}], allowances: []},
		lines: [],
	},
	{
		name: 'every kind of change is listed (a change that slips through review)',
		before: {
			plans: [{name: 'a'}, {name: 'b'}],
			allowances: [{plan: 'a', guarantees: [guarantee], maximumSlots: 4}, {plan: 'b', guarantees: [guarantee]}],
		},
		after: {
			plans: [{name: 'a', urgency: 'urgent'}, {name: 'c'}],
			allowances: [{plan: 'a', guarantees: [{...guarantee, count: 3}], maximumSlots: 5}, {plan: 'c', maximumSlots: 1}],
		},
		lines: [
			'~ plan a: urgency normal -> urgent',
			'- plan b',
			'+ plan c',
			'~ allowance of a: maximumSlots 4 -> 5',
			'~ guarantee of a: 8 accelerators in one worker of north-a, count 2 -> 3',
			'- allowance of b',
			'~ guarantee of b: 8 accelerators in one worker of north-a, count 2 -> 0',
			'+ allowance of c',
			'~ allowance of c: maximumSlots 0 -> 1',
			'~ allowance of c: maximumQueued 0 -> 100',
		],
	},
];

describe('lists of plans and allowances', () => {
	for (const {name, lists, findings} of validationCases) {
		it(name, () => {
			const checked = validateLists(lists);
			expect(checked.kind === 'invalid' ? checked.findings : []).to.deep.equal(findings);
		});
	}

	for (const {name, before, after, lines} of differenceCases) {
		it(name, () => {
			expect(describeDifferences(parseLists(before), parseLists(after)).map(formatDifference)).to.deep.equal(lines);
		});
	}
});

function parseLists(input: unknown): Lists {
	const checked = checkInput(listsSchema, input);
	return checked.kind === 'valid' ? checked.value : expect.fail(JSON.stringify(checked.findings));
}
