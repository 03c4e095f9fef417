import {expect} from 'chai';
import {measureAcceleratorUse, type UseInput} from '../../demo/accelerator-use.js';
import type {Arrival} from '../../demo/arrivals.js';
import type {Execution, CallerResult} from '../../demo/types.js';

const arrival: Arrival = {
	at: 0, workClass: 'gang', plan: 'domes', kind: 'dome-curve', idempotent: true, runMilliseconds: 100, members: 1, acceleratorsPerMember: 4, preemptible: false,
};
const result: CallerResult = {
	id: 'a', workClass: 'gang', plan: 'domes', idempotent: true, outcome: 'completed', isOwnResult: true, submittedAt: 0, endedAt: 1000,
};
const execution: Execution = {
	id: 'other', worker: 'w', attempt: 1, member: 0, accelerators: [2, 5], startedAt: 0, endedAt: undefined, state: 'running', isResumed: false, isCheckpointed: false,
};
const input: UseInput = {
	gangs: [{result, arrival}], executions: [execution], workers: [{name: 'w', zone: 'z'}], acceleratorsPerWorker: 8,
};

type Case = Readonly<{name: string; input: UseInput; expected: ReturnType<typeof measureAcceleratorUse>}>;

const cases: readonly Case[] = [
	{
		name: 'six free accelerators without four adjacent ones count as unusable for a gang of four', input, expected: {utilisation: 0.25, fragmentation: 1},
	},
	{
		name: 'four adjacent ones count as usable', input: {...input, executions: [{...execution, accelerators: [0, 7]}]}, expected: {utilisation: 0.25, fragmentation: 0},
	},
	{
		name: 'a running gang does not count as waiting', input: {...input, executions: [{...execution, id: 'a'}]}, expected: {utilisation: 0.25, fragmentation: 0},
	},
	{
		name: 'an ended task uses no accelerators', input: {...input, executions: [{...execution, endedAt: 0}]}, expected: {utilisation: 0, fragmentation: 0},
	},
];

describe('accelerator use in the demonstration', () => {
	for (const row of cases) {
		it(row.name, () => {
			expect(measureAcceleratorUse(row.input)).to.deep.equal(row.expected);
		});
	}
});
