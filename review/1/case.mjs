/** A worker is lost for good and the agent beside it is killed and starts again: the work items that ran there never start elsewhere. */
import {
	bounds, createClient, isDisturbed, jobOf, runCase, sleep, startDeployment, waitFor,
} from '../stand-ins/harness.mjs';

const [folder] = process.argv.slice(2);
const queue = 'batch';
const job = jobOf(1);
const watchSeconds = 45;

await runCase(folder, async context => {
	const {record} = context;
	const deployment = await startDeployment({
		entries: 3,
		workers: Array.from({length: 8}, (_, index) => ({id: `i-${index + 1}`, rack: `r-${Math.floor(index / 3)}`, capacity: {cpu: 128_000, memory: 262_144, gpus: 8}})),
		queues: [{name: queue, priority: 2}],
		tenants: [{name: 'tenant', key: 'key-1', gpus: 8}],
	}, context);
	const client = createClient({key: 'key-1', ...deployment, record});
	await client.submit(queue, job, [{
		count: 1, cpu: 11_000, memory: 29_000, gpus: 1, estimateMilliseconds: 9000, workMilliseconds: 9000,
	}]);
	await waitFor('the work item runs', async () => deployment.listRuns(job).length > 0);
	await sleep(3000);
	if (isDisturbed) {
		const [{worker: id}] = deployment.listRuns(job);
		const place = deployment.workers.findIndex(worker => worker.id === id);
		deployment.workers[place].crash();
		deployment.agents[place].signal('SIGKILL');
	}

	await sleep((watchSeconds - 5) * 1000);
	let state = await client.readState(queue, job);
	const lastEnd = Math.max(...deployment.listRuns(job).map(({endedAt}) => endedAt ?? Infinity));
	await sleep(5000);
	state = await client.readState(queue, job);
	const idleSeconds = (Date.now() - lastEnd) / 1000;
	const idleWorkers = deployment.workers.filter(worker => worker.isUp()).length;
	return state === 'completed' || idleSeconds < bounds.finishSeconds
		? undefined
		: `LOST: ${Math.round(idleSeconds)} s after its last run ended, the job is shown as ${state}, nothing of it runs, and ${idleWorkers} workers are idle`;
});
