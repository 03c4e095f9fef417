import {readFile} from 'node:fs/promises';
import {expect} from 'chai';
import {version} from '#kernel';
import {formatRefusals} from '../../tools/docs/refusals.js';
import {formatSettings} from '../../tools/docs/settings.js';

type Case = Readonly<{name: string; file: string; isCurrent: (text: string) => boolean}>;

const cases: readonly Case[] = [
	{name: 'the page of refusals matches the code (run tools/generate-docs.ts)', file: 'docs/refusals.md', isCurrent: text => text === formatRefusals()},
	{name: 'the page of settings matches the code (run tools/generate-docs.ts)', file: 'docs/settings.md', isCurrent: text => text === formatSettings()},
	{
		name: 'the version that programs print matches package.json', file: 'package.json', isCurrent: text => (JSON.parse(text) as Readonly<{version: string}>).version === version,
	},
];

describe('generated pages', () => {
	for (const {name, file, isCurrent} of cases) {
		it(name, async () => {
			expect(isCurrent(await readFile(file, 'utf8'))).to.equal(true);
		});
	}
});
