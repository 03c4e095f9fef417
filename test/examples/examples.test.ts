import {readdir, readFile} from 'node:fs/promises';
import {expect} from 'chai';
import {createListsSchema, readListsFile} from '#command-line';

type Case = Readonly<{name: string; run(): Promise<void>}>;

const cases: readonly Case[] = [
	{
		name: 'the generated schema is current (run tools/generate-schema.ts after changing the lists)',
		async run() {
			const text = await readFile('examples/lists.schema.json', 'utf8');
			expect(JSON.parse(text)).to.deep.equal(structuredClone(createListsSchema()));
		},
	},
	{
		name: 'every example is valid and has four teams, three of them with guarantees',
		async run() {
			const files = await readdir('examples');
			const examples = files.filter(file => file.endsWith('.yaml'));
			expect(examples).to.have.lengthOf(2);
			for (const file of examples) {
				const {lists} = readListsFile(file, await readFile(`examples/${file}`, 'utf8'));
				expect(lists.plans, file).to.have.lengthOf(4);
				expect(lists.allowances.filter(({guarantees}) => guarantees.length > 0), file).to.have.lengthOf(3);
			}
		},
	},
];

describe('examples', () => {
	for (const {name, run} of cases) {
		it(name, run);
	}
});
