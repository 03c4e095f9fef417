import {expect} from 'chai';
import {runCommandLine, BadInputError} from '#command-line';
import {createRandomSource} from '#core';
import {silentLog, systemClock} from '#kernel';
import {serveStore} from '#stand-ins';
import {createHttpClient} from '#transport';

const lists = (slots: number) => `plans:
  - name: rosters
allowances:
  - plan: rosters
    maximumSlots: ${slots}
`;

const files: Readonly<Record<string, string>> = {
	'first.yaml': lists(4),
	'second.yaml': `revision: 1\n${lists(5)}`,
	'third.json': JSON.stringify({plans: [{name: 'rosters'}], allowances: [{plan: 'rosters', maximumSlots: 6}]}),
	'wrong.yaml': 'plans:\n  - name: rosters\n    weight: 0\nallowances:\n  - plan: rosters\n  - plan: nobody\n',
	'broken.yaml': 'plans: [\n',
	'job.yaml': 'plan: rosters\nkind: render\n',
};

const unchecked = 'the guarantees were not checked against workers, as no entry was named';

type Step = Readonly<{words: string; exitCode: number; output?: readonly string[]; errors?: readonly string[]}>;
type Case = Readonly<{name: string; switches?: unknown; steps: readonly Step[]}>;

const cases: readonly Case[] = [
	{
		name: 'findings name file, line and path together (mistakes reported one at a time)',
		steps: [
			{
				words: 'validate wrong.yaml',
				exitCode: 2,
				errors: [
					'wrong.yaml:3: plans[0].weight: must be at least 1',
					'wrong.yaml:6: allowances[1].plan: plan "nobody" is not in the list of plans',
				],
			},
			{words: 'validate broken.yaml', exitCode: 2},
			{words: 'validate missing.yaml', exitCode: 2, errors: ['missing.yaml: cannot be read']},
			{words: 'submit job.yaml --entry-origin http://127.0.0.1:1', exitCode: 2},
		],
	},
	{
		name: 'two operators with one base: the second is refused with both revisions and the author (lost update)',
		steps: [
			{
				words: 'put first.yaml',
				exitCode: 0,
				output: [
					'+ plan rosters',
					'+ allowance of rosters',
					'~ allowance of rosters: maximumSlots 0 -> 4',
					'~ allowance of rosters: maximumQueued 0 -> 100',
					unchecked,
					'revision 1 is stored',
				],
			},
			{words: 'put second.yaml --changed-by ana', exitCode: 0, output: ['~ allowance of rosters: maximumSlots 4 -> 5', unchecked, 'revision 2 is stored']},
			{words: 'put second.yaml --changed-by luis', exitCode: 3, errors: ['the base is revision 1, but the store holds revision 2, changed by ana; nothing was changed']},
		],
	},
	{
		name: 'a file that names no base does not replace a configuration that its author never saw',
		steps: [
			{words: 'put first.yaml', exitCode: 0},
			{words: 'put third.json', exitCode: 2, errors: ['--base: is required, or `revision` in the file; the present revision is 1']},
			{words: 'put third.json --base 1', exitCode: 0},
			{words: 'diff 1', exitCode: 0, output: ['~ allowance of rosters: maximumSlots 4 -> 6']},
			{words: 'diff 1 first.yaml', exitCode: 0, output: ['no difference']},
			{words: 'put third.json --base 2', exitCode: 0, output: ['no difference', unchecked]},
		],
	},
	{
		name: 'a dry run changes nothing',
		steps: [
			{words: 'put first.yaml --dry-run', exitCode: 0},
			{words: 'show', exitCode: 1, errors: ['the store holds no configuration']},
		],
	},
	{
		name: 'answer lost after the write took effect: reported as done under one revision (double change)',
		switches: {loseWriteAnswers: 1},
		steps: [
			{words: 'put first.yaml --json', exitCode: 0},
			{words: 'show --json', exitCode: 0},
			{words: 'put first.yaml --base 0', exitCode: 3},
		],
	},
	{
		name: 'an unavailable store has its own exit code, distinct from a refusal',
		switches: {outage: true},
		steps: [{words: 'show', exitCode: 4}, {words: 'put first.yaml', exitCode: 4}],
	},
	{
		name: 'a flag or command that does not exist is a bad input, not ignored',
		steps: [
			{words: 'show --revison 3', exitCode: 2, errors: ['--revison: is not a known flag of show']},
			{words: 'replace first.yaml', exitCode: 2},
			{words: 'history --limit many', exitCode: 2, errors: ['--limit: must be a whole number']},
			{words: 'fleet', exitCode: 2, errors: ['--entry-origin: is required (or set DOTTERELNOTCH_ENTRY_ORIGIN)']},
			{words: 'fleet --entry-origin http://127.0.0.1:1', exitCode: 4},
		],
	},
];

describe('command line', () => {
	for (const {name, switches, steps} of cases) {
		it(name, async () => {
			const listener = await serveStore('127.0.0.1', 0, silentLog);
			const origin = `http://127.0.0.1:${listener.port}`;
			const control = createHttpClient(origin, 1);
			if (switches !== undefined) {
				await control.send('POST', '/switches', {body: switches, timeout: 2000});
			}

			try {
				for (const {words, exitCode, output, errors} of steps) {
					const run = await runWords(words.split(' '), origin);
					expect(run, words).to.deep.include({exitCode});
					expect(run.output, words).to.deep.equal(output ?? run.output);
					expect(run.errors, words).to.deep.equal(errors ?? run.errors);
				}
			} finally {
				await control.close();
				await listener.drain();
			}
		});
	}
});

async function runWords(words: readonly string[], storeOrigin: string): Promise<Readonly<{exitCode: number; output: readonly string[]; errors: readonly string[]}>> {
	const output: string[] = [];
	const errors: string[] = [];
	const exitCode = await runCommandLine(words, {
		environment: {DOTTERELNOTCH_STORE_ORIGIN: storeOrigin},
		clock: systemClock,
		random: createRandomSource(1),
		userName: 'test',
		createIdentifier: () => 'change',
		print(text) {
			output.push(...text.split('\n'));
		},
		printError(text) {
			errors.push(...text.split('\n'));
		},
		async readFile(path) {
			const text = files[path];
			if (text === undefined) {
				throw new BadInputError([`${path}: cannot be read`]);
			}

			return text;
		},
	});
	return {exitCode, output, errors};
}
