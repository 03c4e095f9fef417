import {
	closeSync, mkdtempSync, openSync, readFileSync, rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'chai';
import {createLogOutput} from '../../packages/kernel/log-output.js';

type Case = Readonly<{name: string; lines: number; characters: number; maximumWritten: number}>;

const cases: readonly Case[] = [
	{
		name: 'lines of usual length are all written (decision without a line)', lines: 400, characters: 200, maximumWritten: 400,
	},
	{
		name: 'long lines are buffered up to a size (memory for the lines of one client)', lines: 400, characters: 200_000, maximumWritten: 12,
	},
];

describe('log output', () => {
	for (const {
		name, lines, characters, maximumWritten,
	} of cases) {
		it(name, async () => {
			const folder = mkdtempSync(join(tmpdir(), 'log-output-'));
			const descriptor = openSync(join(folder, 'log'), 'w');
			const output = createLogOutput(descriptor, lines + 1, () => 0);
			for (let index = 0; index < lines; index++) {
				output.write(`${'x'.repeat(characters)}\n`);
			}

			const read = () => readFileSync(join(folder, 'log'), 'utf8').split('\n').filter(line => line.length === characters).length;
			let written = -1;
			while (written !== read()) {
				written = read();
				await new Promise(resolve => {
					setTimeout(resolve, 100);
				});
			}

			closeSync(descriptor);
			rmSync(folder, {recursive: true});
			expect(written).to.be.at.most(maximumWritten);
			expect(written).to.be.at.least(Math.min(lines, 2));
			expect(written === lines).to.equal(maximumWritten === lines);
		});
	}
});
