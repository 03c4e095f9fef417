import {
	completeJob, deeplyNested, expectAllRunning, repetitions, tooLargeNumber,
} from '#test/support/platform/odd-input';
import {startDeployment, type Deployment} from '#test/support/platform/deployment';

/** Odd values of the store by key, as text. */
const storedValues: ReadonlyArray<readonly [string, string]> = [
	['cluster/entries/odd-port', '{"entry":"odd-port","address":"127.0.0.1:70000","zone":"z"}'],
	['cluster/entries/odd-address', '{"entry":"odd-address","address":"ws://[","zone":"z"}'],
	['cluster/entries/odd-depth', `{"entry":"odd-depth","address":"127.0.0.1:9","zone":${deeplyNested}}`],
	['cluster/entries/odd-bytes', 'not JSON'],
	['cluster/odd', deeplyNested],
	['jobs/00000000000000b1', deeplyNested],
	['jobs/00000000000000b2', `{"kind":"accepted","submission":{"job":"00000000000000b2","submittedAt":${tooLargeNumber}}}`],
	['jobs/not-a-job/cancellation', 'null'],
	['progress/00000000000000b1', `{"outcome":"running","tasks":{"0.0.0":${deeplyNested}}}`],
	['workers', `{"workers":[{"agent":"agent-0","worker":${deeplyNested}}]}`],
];

describe('odd values in the store', function () {
	this.timeout(60_000);
	let deployment: Deployment;
	let jobs = 0;
	const nextKey = () => (++jobs).toString(16).padStart(16, '0');

	before(async () => {
		deployment = await startDeployment({entries: 1, workers: 1, workMilliseconds: 100});
	});

	after(async () => {
		await deployment.stop();
	});

	for (const [key, text] of storedValues) {
		it(`an odd value under ${key} leaves the rest of the store in use (process ended, or list no longer followed)`, async () => {
			for (let count = 0; count < repetitions; count++) {
				deployment.store.putBytes(key, Buffer.from(text).toString('base64'));
			}

			await completeJob(deployment, nextKey());
			expectAllRunning(deployment);
		});
	}

	it('the next scheduler loads the jobs beside odd values (no scheduler after a takeover)', async () => {
		const running = await startDeployment({entries: 1, workers: 1, workMilliseconds: 100});
		for (const [key, text] of storedValues) {
			running.store.putBytes(key, Buffer.from(text).toString('base64'));
		}

		running.store.compact();
		await completeJob(running, nextKey());
		await running.stop();
	});
});
