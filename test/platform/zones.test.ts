import {expect} from 'chai';
import {runCommandLine} from '#command-line';
import {createRandomSource} from '#core';
import {systemClock} from '#kernel';
import {loopbackHost} from '#test/support/loopback';
import {startDeployment, type Deployment} from '#test/support/platform/deployment';
import {waitFor} from '#test/support/processes';

/** One task on each worker that can be used. */
const step = {
	count: 2, cpu: 1000, mem_mb: 100, gpus: 1, estimate_ms: 300, anti_affinity: 1,
};
const evacuationKey = 'op/evacuate/z-0';

async function submit(deployment: Deployment, entry: number, job: string, steps: readonly unknown[] = [step]) {
	await waitFor('acceptance', async () => {
		const answer = await deployment.call(entry, 'POST', `/batch/${job}`, {spec: 'text', steps});
		return answer?.status === 200 ? true : undefined;
	});
}

/** Starts of a job on each worker. */
const countStarts = ({workers}: Deployment, job: string) => workers.map(worker => worker.records().filter(({task}) => task.startsWith(job)).length);

async function waitForStarts(deployment: Deployment, job: string, expected: readonly number[]) {
	await waitFor(`starts of ${job}`, async () => countStarts(deployment, job).every((count, worker) => count === expected[worker]) ? true : undefined);
}

async function showZones({entries}: Deployment, entry: number): Promise<Readonly<{exitCode: number; text: string}>> {
	let text = '';
	const exitCode = await runCommandLine(['zones', '--entry-origin', `http://${loopbackHost(entry)}:${entries[entry]?.daemon.ports['metrics'] ?? 0}`], {
		environment: {},
		clock: systemClock,
		random: createRandomSource(1),
		userName: 'test',
		createIdentifier: () => 'change',
		print(printed) {
			text += printed;
		},
		printError(printed) {
			text += printed;
		},
		readFile: async () => '',
	});
	return {exitCode, text};
}

const [first, second, third, fourth] = ['00000000000000a1', '00000000000000a2', '00000000000000a3', '00000000000000a4'] as const;

describe('closed zones of the programs', function () {
	this.timeout(60_000);

	it('no task starts in a closed zone, also under the next scheduler, until it is opened, and every entry shows what still runs there (start in a closed zone)', async () => {
		const deployment = await startDeployment({
			entries: 2, workers: 2, workMilliseconds: 8000, zoneOf: worker => `z-${worker}`,
		});
		try {
			await submit(deployment, 0, first);
			await waitForStarts(deployment, first, [1, 1]);
			deployment.store.put(evacuationKey, {});
			for (const entry of [0, 1]) {
				await waitFor('closed zone in the command', async () => {
					const {exitCode, text} = await showZones(deployment, entry);
					return exitCode === 0 && /^z-0 .* 1 +1\n/m.test(text) && text.includes(`i-0     ${first}`) ? true : undefined;
				});
			}

			await submit(deployment, 0, second);
			await waitForStarts(deployment, second, [0, 1]);
			const {entry: leader} = deployment.store.read('cluster/leader') as Readonly<{entry: string}>;
			const index = deployment.entries.findIndex(({name}) => name === leader);
			deployment.entries[index]?.daemon.process.kill('SIGKILL');
			await submit(deployment, 1 - index, third);
			await waitForStarts(deployment, third, [0, 1]);
			expect([second, third].map(job => countStarts(deployment, job))).to.deep.equal([[0, 1], [0, 1]]);
			deployment.store.remove(evacuationKey);
			await submit(deployment, 1 - index, fourth);
			await waitForStarts(deployment, fourth, [1, 1]);
			expect(await showZones(deployment, 1 - index)).to.deep.equal({exitCode: 0, text: 'no zone is closed'});
		} finally {
			await deployment.stop();
		}
	});
});
