import {expect} from 'chai';
import {compareWithRecords} from '../../demo/compare.js';
import type {Execution, CallerResult} from '../../demo/types.js';

const told: CallerResult = {
	id: 'a', workClass: 'short', plan: 'rosters', idempotent: false, outcome: 'completed', isOwnResult: true, submittedAt: 0, endedAt: 10,
};
const run: Execution = {
	id: 'a', worker: 'w', attempt: 0, member: 0, accelerators: [], startedAt: 1, endedAt: 5, state: 'succeeded',
};

const idempotentGang: CallerResult = {...told, idempotent: true, workClass: 'gang'};

type Case = Readonly<{name: string; told: CallerResult; executions: readonly Execution[]; expected: Readonly<{lost: number; doubled: number; misreported: number}>}>;

const fine = {lost: 0, doubled: 0, misreported: 0};

const cases: readonly Case[] = [
	{
		name: 'a completed request that ran once is fine', told, executions: [run], expected: fine,
	},
	{
		name: 'a caller without an answer is a loss', told: {...told, outcome: 'none'}, executions: [run], expected: {...fine, lost: 1},
	},
	{
		name: 'a non-idempotent request on two workers is doubled', told, executions: [run, {...run, worker: 'v'}], expected: {...fine, doubled: 1},
	},
	{
		name: 'an idempotent request may run twice', told: {...told, idempotent: true}, executions: [run, {...run, worker: 'v'}], expected: fine,
	},
	{
		name: 'an idempotent gang whose attempts overlap is doubled', told: idempotentGang, executions: [run, {...run, attempt: 2, startedAt: 4}], expected: {...fine, doubled: 1},
	},
	{
		name: 'an idempotent gang that starts again after its stop is fine', told: idempotentGang, executions: [{...run, state: 'stopped'}, {...run, attempt: 2, startedAt: 6}], expected: fine,
	},
	{
		name: 'work that ran although the caller was told that it did not is misreported', told: {...told, outcome: 'not-run'}, executions: [run], expected: {...fine, misreported: 1},
	},
	{
		name: 'a completed answer without a run is misreported', told, executions: [], expected: {...fine, misreported: 1},
	},
	{
		name: 'an answer with the result of other work is misreported', told: {...told, isOwnResult: false}, executions: [run], expected: {...fine, misreported: 1},
	},
	{
		name: 'a gang that is said to have been stopped must have started', told: {...idempotentGang, outcome: 'stopped'}, executions: [], expected: {...fine, misreported: 1},
	},
	{
		name: 'an unknown outcome claims nothing', told: {...told, outcome: 'unknown'}, executions: [run], expected: fine,
	},
];

describe('comparison of callers and workers', () => {
	for (const row of cases) {
		it(row.name, () => {
			expect(compareWithRecords([row.told], row.executions)).to.deep.include(row.expected);
		});
	}
});
