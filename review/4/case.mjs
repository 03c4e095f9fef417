/** One order gets no answer: the work item never starts again on that worker, although the other worker that it may use stays full. */
import {
	bounds, createClient, isDisturbed, jobOf, runCase, sleep, startDeployment, waitFor,
} from '../stand-ins/harness.mjs';

const [folder] = process.argv.slice(2);
const lasting = jobOf(1);
const small = jobOf(2);
const watchSeconds = 50;

await runCase(folder, async context => {
	const {record} = context;
	const deployment = await startDeployment({
		entries: 3,
		workers: Array.from({length: 8}, (_, index) => ({id: `i-${index + 1}`, rack: `r-${Math.floor(index / 2)}`, capacity: {cpu: 128_000, memory: 262_144, gpus: 8}})),
		queues: [{name: 'batch', priority: 2}],
		tenants: [{name: 'tenant', key: 'key-1', gpus: 8}],
	}, context);
	const client = createClient({key: 'key-1', ...deployment, record});
	await client.submit('batch', lasting, [{
		count: 1, cpu: 52_000, memory: 140_000, gpus: 8, label: 'r-0', isLasting: true,
	}]);
	await waitFor('the work that lasts runs', async () => deployment.listRuns(lasting).length === 1);
	const [{worker: full}] = deployment.listRuns(lasting);
	const idle = deployment.workers.find(({id, rack}) => rack === 'r-0' && id !== full);
	let isLate = isDisturbed;
	idle.setFault((path, {task}) => {
		const isChosen = isLate && path === '/v1/run-start' && task.startsWith(small);
		isLate &&= !isChosen;
		return isChosen ? {kind: 'late', milliseconds: 5000} : undefined;
	});
	await client.submit('batch', small, [{
		count: 1, cpu: 11_000, memory: 29_000, gpus: 1, estimateMilliseconds: 3000, workMilliseconds: 3000, label: 'r-0',
	}]);
	const acceptedAt = Date.now();
	await sleep(watchSeconds * 1000);
	const [first] = deployment.listRuns(small);
	const state = await client.readState('batch', small);
	const waited = ((first?.startedAt ?? Date.now()) - acceptedAt) / 1000;
	return waited <= bounds.finishSeconds
		? undefined
		: `LOST: ${Math.round(waited)} s after the last submission nothing of the small job ${first === undefined ? 'has run' : 'had run'}; it is shown as ${state}, and its worker ${idle.id} is idle`;
});
