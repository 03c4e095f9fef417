/** A gang that can never be placed, since work that lasts holds an accelerator, keeps the idle workers of the pool from all other jobs. */
import {
	bounds, createClient, isDisturbed, jobOf, runCase, sleep, startDeployment, waitFor,
} from '../stand-ins/harness.mjs';

const [folder] = process.argv.slice(2);
const lasting = jobOf(1);
const gang = jobOf(2);
const small = jobOf(3);
const workers = 4;
const watchSeconds = 45;

await runCase(folder, async context => {
	const {record} = context;
	const deployment = await startDeployment({
		entries: 3,
		workers: Array.from({length: workers}, (_, index) => ({id: `i-${index + 1}`, rack: `r-${Math.floor(index / 3)}`, capacity: {cpu: 128_000, memory: 262_144, gpus: 8}})),
		queues: [{name: 'curves', priority: 1}, {name: 'batch', priority: 2}],
		tenants: [{name: 'tenant', key: 'key-1', gpus: 8}],
	}, context);
	const client = createClient({key: 'key-1', ...deployment, record});
	await client.submit('batch', lasting, [{
		count: 1, cpu: 11_000, memory: 29_000, gpus: 1, isLasting: true,
	}]);
	await waitFor('the work that lasts runs', async () => deployment.listRuns(lasting).length === 1);
	if (isDisturbed) {
		await client.submit('curves', gang, [{
			count: workers, cpu: 52_000, memory: 140_000, gpus: 8, estimateMilliseconds: 60_000, workMilliseconds: 60_000, isGang: true,
		}]);
		await sleep(2000);
	}

	await client.submit('batch', small, [{
		count: 1, cpu: 11_000, memory: 29_000, gpus: 1, estimateMilliseconds: 3000, workMilliseconds: 3000,
	}]);
	const acceptedAt = Date.now();
	await sleep(watchSeconds * 1000);
	const [first] = deployment.listRuns(small);
	const state = await client.readState('batch', small);
	const waited = ((first?.startedAt ?? Date.now()) - acceptedAt) / 1000;
	return waited <= bounds.finishSeconds
		? undefined
		: `LOST: ${Math.round(waited)} s after the last submission the small job ${first === undefined ? 'has' : 'had'} not started; it is shown as ${state}, and 31 of 32 accelerators are idle`;
});
