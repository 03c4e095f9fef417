import {expect} from 'chai';
import * as valibot from 'valibot';
import {checkInput} from '#core';

const schema = valibot.object({steps: valibot.array(valibot.object({count: valibot.number('must be a number'), name: valibot.string('must be text')}))});

type Case = Readonly<{name: string; steps: readonly unknown[]; findings: number}>;

const cases: readonly Case[] = [
	{
		name: 'all findings of an input of usual size are reported together (caller that corrects one field at a time)', steps: Array.from({length: 100}, () => ({count: '', name: 1})), findings: 200,
	},
	{
		name: 'the findings of a wide input are bounded (memory for a finding each)', steps: Array.from({length: 5000}, () => ({count: '', name: 1})), findings: 2000,
	},
	{
		name: 'a very wide input is checked up to its first finding (process ended by 500,000 findings)', steps: Array.from({length: 500_000}, () => 0), findings: 1,
	},
];

describe('check of input', () => {
	for (const {name, steps, findings} of cases) {
		it(name, () => {
			const checked = checkInput(schema, {steps});
			expect(checked.kind === 'invalid' ? checked.findings : []).to.have.length(findings);
		});
	}

	it('a valid wide input is accepted (large configuration refused)', () => {
		expect(checkInput(schema, {steps: Array.from({length: 50_000}, () => ({count: 1, name: ''}))}).kind).to.equal('valid');
	});
});
