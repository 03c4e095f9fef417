import {expect} from 'chai';
import {runCommandLine} from '#command-line';
import {createRandomSource} from '#core';
import {systemClock} from '#kernel';
import {loopbackHost} from '#test/support/loopback';
import {startDeployment, type Deployment} from '#test/support/platform/deployment';
import {waitFor} from '#test/support/processes';

const step = {
	count: 1, processorMillicores: 1000, memoryMegabytes: 100, accelerators: 1, estimatedMilliseconds: 300, after: [], isCheckpointing: false, isGang: false, prefersOneRack: false,
	maximumPerWorker: 1, isLongRunning: false, isFilling: false, maximumUnavailable: 0,
};
const describeJob = (change: Readonly<Record<string, unknown>> = {}) => JSON.stringify({
	queue: 'batch', tenant: 'tenant', job: {specification: 'text', steps: [{...step, count: 2}]}, ...change,
});
const withStep = (change: Readonly<Record<string, unknown>>) => describeJob({job: {specification: 'text', steps: [{...step, ...change}]}});

type Outcome = Readonly<{exitCode: number; text: string}>;

async function explainAt(origin: string, file: string, words: readonly string[] = []): Promise<Outcome> {
	let text = '';
	const print = (printed: string) => {
		text += printed;
	};

	const exitCode = await runCommandLine(['explain', 'job.json', ...words, '--entry-origin', origin], {
		environment: {}, clock: systemClock, random: createRandomSource(1), userName: 'test', createIdentifier: () => 'change', print, printError: print, readFile: async () => file,
	});
	return {exitCode, text};
}

const originOf = ({entries}: Deployment, entry: number) => `http://${loopbackHost(entry)}:${entries[entry]?.daemon.ports['metrics'] ?? 0}`;

/** Each entry explains one job a second. */
async function explain(deployment: Deployment, file: string, words: readonly string[] = [], entry = 0): Promise<Outcome> {
	return waitFor('explanation', async () => {
		const outcome = await explainAt(originOf(deployment, entry), file, words);
		return outcome.exitCode === 4 ? undefined : outcome;
	});
}

type Case = Readonly<{name: string; file: string; exitCode: number; text: string}>;

/** Files that the command refuses; the last two reach the entry. */
const badFiles: readonly Case[] = [
	{
		name: 'no JSON', file: '{', exitCode: 2, text: 'job.json: is not JSON',
	},
	{
		name: 'wrong count', file: withStep({count: 0}), exitCode: 2, text: 'job.json: job.steps[0].count:',
	},
	{
		name: 'too long', file: describeJob({job: {specification: 'text', steps: [step]}, queue: 'q'.repeat(600_000)}), exitCode: 2, text: 'job.json: must take at most',
	},
	{
		name: 'unknown queue', file: describeJob({queue: 'none'}), exitCode: 2, text: 'job.json: queue: is not configured',
	},
	{
		name: 'unknown team', file: describeJob({tenant: 'none'}), exitCode: 2, text: 'job.json: tenant: is not configured',
	},
];

describe('explain command', function () {
	this.timeout(60_000);

	for (const {name, file, exitCode, text} of badFiles.slice(0, 3)) {
		it(`reports a bad file without asking an entry: ${name} (error without a place)`, async () => {
			const outcome = await explainAt('http://127.0.0.1:1', file);
			expect(outcome.exitCode).to.equal(exitCode);
			expect(outcome.text).to.match(new RegExp(`^${text.replaceAll(/[[\].]/g, String.raw`\$&`)}`));
		});
	}

	it('an entry that does not answer has its own exit code (missing entry taken for a bad file)', async () => {
		const {exitCode} = await explainAt('http://127.0.0.1:1', describeJob());
		expect(exitCode).to.equal(4);
	});

	it('every entry explains, without submitting or revealing keys, once a second (explanation that changes something or slows the scheduler)', async () => {
		const deployment = await startDeployment({
			entries: 2, workers: 2, workMilliseconds: 300, zoneOf: worker => `z-${worker}`,
		});
		try {
			deployment.store.put('op/evacuate/z-0', {});
			for (const entry of [0, 1]) {
				const {exitCode, text} = await waitFor('closed zone', async () => {
					const outcome = await explain(deployment, describeJob(), [], entry);
					return outcome.text.includes('closed-zone') ? outcome : undefined;
				});
				expect(exitCode).to.equal(0);
				expect(text).to.include('1 start now on i-1 (1)').and.to.include('1 wait (');
			}

			const shown = await explain(deployment, describeJob(), ['--json']);
			expect(JSON.parse(shown.text)).to.have.property('kind', 'explained');
			expect(shown.text).not.to.include('key-1');
			for (const {name, file, exitCode, text} of badFiles.slice(3)) {
				const outcome = await explain(deployment, file);
				expect(outcome, name).to.deep.equal({exitCode, text});
			}

			const response = await fetch(`${originOf(deployment, 0)}/v1/explain`, {method: 'POST', body: describeJob()});
			expect([response.status, response.headers.get('retry-after')]).to.deep.equal([429, '1']);
			expect(deployment.workers.flatMap(worker => worker.records()), 'starts').to.deep.equal([]);
			const job = await deployment.call(0, 'GET', '/batch/0000000000000000');
			expect(job?.status, 'absent job').to.equal(410);
		} finally {
			await deployment.stop();
		}
	});
});
