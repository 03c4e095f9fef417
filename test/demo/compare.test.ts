import {expect} from 'chai';
import {compareWithRecords} from '../../demo/compare.js';
import type {Execution, CallerResult} from '../../demo/types.js';

const result: CallerResult = {
	id: 'a', workClass: 'short', plan: 'rosters', idempotent: false, outcome: 'completed', isOwnResult: true, submittedAt: 0, endedAt: 10,
};
const run: Execution = {
	id: 'a', worker: 'w', attempt: 0, member: 0, accelerators: [], startedAt: 1, endedAt: 5, state: 'succeeded', isResumed: false, isCheckpointed: false,
};

const checkpointed: Execution = {...run, state: 'stopped', isCheckpointed: true};
const resumed: Execution = {
	...run, worker: 'v', attempt: 2, startedAt: 6, endedAt: 9, isResumed: true,
};

const gang: CallerResult = {...result, workClass: 'gang'};
const idempotentGang: CallerResult = {...gang, idempotent: true};

type Case = Readonly<{name: string; result: CallerResult; executions: readonly Execution[]; expected: Readonly<{lost: number; doubled: number; misreported: number}>}>;

const noFaults = {lost: 0, doubled: 0, misreported: 0};

const cases: readonly Case[] = [
	{
		name: 'a completed request that ran once is consistent', result, executions: [run], expected: noFaults,
	},
	{
		name: 'a request whose caller got no answer is lost', result: {...result, outcome: 'none'}, executions: [run], expected: {...noFaults, lost: 1},
	},
	{
		name: 'a non-idempotent request on two workers is doubled', result, executions: [run, {...run, worker: 'v'}], expected: {...noFaults, doubled: 1},
	},
	{
		name: 'a non-idempotent gang that resumes its checkpoint is consistent',
		result: gang,
		executions: [checkpointed, resumed],
		expected: noFaults,
	},
	{
		name: 'a non-idempotent gang that starts again without its checkpoint is doubled',
		result: gang,
		executions: [checkpointed, {...resumed, isResumed: false}],
		expected: {...noFaults, doubled: 1},
	},
	{
		name: 'a non-idempotent gang that resumes without a checkpoint of its last run is doubled',
		result: gang,
		executions: [{...checkpointed, isCheckpointed: false}, resumed],
		expected: {...noFaults, doubled: 1},
	},
	{
		name: 'a non-idempotent gang that resumes while it still runs is doubled',
		result: gang,
		executions: [checkpointed, {...resumed, startedAt: 4}],
		expected: {...noFaults, doubled: 1},
	},
	{
		name: 'a non-idempotent gang that resumes after it succeeded is doubled',
		result: gang,
		executions: [{...checkpointed, state: 'succeeded'}, resumed],
		expected: {...noFaults, doubled: 1},
	},
	{
		name: 'an idempotent request may run twice', result: {...result, idempotent: true}, executions: [run, {...run, worker: 'v'}], expected: noFaults,
	},
	{
		name: 'an idempotent gang whose attempts overlap is doubled', result: idempotentGang, executions: [run, {...run, attempt: 2, startedAt: 4}], expected: {...noFaults, doubled: 1},
	},
	{
		name: 'an idempotent gang may start again after it stopped', result: idempotentGang, executions: [{...run, state: 'stopped'}, {...run, attempt: 2, startedAt: 6}], expected: noFaults,
	},
	{
		name: 'work that ran although the caller was told that it did not is misreported', result: {...result, outcome: 'not-run'}, executions: [run], expected: {...noFaults, misreported: 1},
	},
	{
		name: 'a completed answer without a run is misreported', result, executions: [], expected: {...noFaults, misreported: 1},
	},
	{
		name: 'an answer with the result of other work is misreported', result: {...result, isOwnResult: false}, executions: [run], expected: {...noFaults, misreported: 1},
	},
	{
		name: 'a gang reported as stopped that never started is misreported', result: {...idempotentGang, outcome: 'stopped'}, executions: [], expected: {...noFaults, misreported: 1},
	},
	{
		name: 'an unknown outcome is consistent with any execution', result: {...result, outcome: 'unknown'}, executions: [run], expected: noFaults,
	},
];

describe('comparison of caller results and execution records', () => {
	for (const row of cases) {
		it(row.name, () => {
			expect(compareWithRecords([row.result], row.executions)).to.deep.include(row.expected);
		});
	}
});
