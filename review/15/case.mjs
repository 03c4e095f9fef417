/** A work item that failed once waits for room when the operator lowers `max_attempts`. */
/* eslint camelcase: off -- Messages have the names of the platform's pages. */
import {
	call, describeManifest, runCase, sleep, startCluster, waitUntil,
} from '../stand-ins-3/cluster.mjs';

const failing = 'aaaaaaaaaaaaaaaa';
const other = 'bbbbbbbbbbbbbbbb';
const otherMilliseconds = 8000;

await runCase('review/15', async ({note, isTroubled}) => {
	const ended = [];
	const manifest = (version, attempts) => describeManifest(version, [{name: 'other', priority: 2}, {name: 'batch', priority: 2, attempts}]);
	const cluster = await startCluster({
		workers: 3,
		manifest: manifest(3, 3),
		note(event) {
			note(event);
			if (event.event === 'run ended') {
				ended.push(event);
			}
		},
		kinds: [
			{prefix: failing, need: {cpu: 64_000, mem_mb: 1000, gpus: 8}, run: {milliseconds: 1500, ending: 'failed'}},
			{prefix: other, need: {cpu: 64_000, mem_mb: 1000, gpus: 8}, run: {milliseconds: otherMilliseconds}},
		],
	});
	const [entry] = cluster.entries;
	const send = async (method, path, body) => {
		const answer = await call(entry, method, path, {body});
		note({
			event: 'call', method, path, status: answer?.status, body: answer?.body,
		});
		return answer;
	};

	const step = count => ({
		count, cpu: 64_000, mem_mb: 1000, gpus: 8, estimate_ms: 2000,
	});
	const submitted = await send('POST', `/batch/${failing}`, {spec: 'x', steps: [step(1)]});
	if (submitted?.status !== 200) {
		throw new Error('the job was not accepted');
	}

	await sleep(500);
	// Two items take the other workers, and four wait for the first to fail.
	await send('POST', `/other/${other}`, {spec: 'x', steps: [step(6)]});
	if (!await waitUntil(5000, async () => ended.some(({task, how}) => task.startsWith(failing) && how === 'failed'))) {
		throw new Error('the first run did not fail');
	}

	await sleep(500);
	if (isTroubled) {
		cluster.store.put('op/config', manifest(5, 1));
		note({event: 'manifest', version: 5, attempts: 1});
	}

	// All other work is done after some 18 s; the pool is then empty.
	const isDecided = await waitUntil(45_000, async () => {
		const answer = await call(entry, 'GET', `/batch/${failing}`);
		return answer?.body?.state === 'completed' || answer?.body?.state === 'failed';
	});
	const shown = await send('GET', `/batch/${failing}`);
	await send('GET', `/other/${other}`);
	cluster.stop();
	return isDecided ? [] : [`LOST: the job is shown as ${shown?.body?.state} long after all other work has ended, and nothing of it runs`];
});
