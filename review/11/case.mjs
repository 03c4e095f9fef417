/** Two jobs of one long work item each, which only one of the workers may run. */
/* eslint camelcase: off -- Messages have the names of the platform's pages. */
import {
	call, describeManifest, runCase, sleep, startCluster,
} from '../stand-ins-3/cluster.mjs';

const jobs = ['aaaaaaaaaaaaaaaa', 'bbbbbbbbbbbbbbbb'];
/** A worker reports whole percents, so that the long items take 6 s from one to the next, and the short ones 0.2 s. */
const itemMilliseconds = {troubled: 600_000, calm: 20_000};
/** Bounds of the rule: `finish_s`, and the time for which a job may have nothing running. */
const finishMilliseconds = 14_000;
const idleMilliseconds = 3000;
const watchedMilliseconds = 50_000;

await runCase('review/11', async ({note, isTroubled}) => {
	/** Starts and ends of the runs of each job, by the time of their report. */
	const changes = new Map(jobs.map(job => [job, []]));
	const milliseconds = itemMilliseconds[isTroubled ? 'troubled' : 'calm'];
	const cluster = await startCluster({
		workers: 3,
		labelOf: index => index === 0 ? 'b' : 'a',
		manifest: describeManifest(3, [{name: 'batch', priority: 1}]),
		note(event) {
			note(event);
			if (event.event === 'run started' || event.event === 'run ended') {
				changes.get(event.task.split('.')[0]).push({at: performance.now(), isRunning: event.event === 'run started', how: event.how});
			}
		},
		kinds: [{prefix: '', need: {cpu: 4000, mem_mb: 1000, gpus: 1}, run: {milliseconds}}],
	});
	for (const job of jobs) {
		const answer = await call(cluster.entries[0], 'POST', `/batch/${job}`, {
			body: {
				spec: 'x', steps: [{
					count: 1, cpu: 4000, mem_mb: 1000, gpus: 1, estimate_ms: milliseconds, requirements: 'b',
				}],
			},
		});
		note({event: 'submitted', job, status: answer?.status});
		if (answer?.status !== 200) {
			throw new Error('a job was not accepted');
		}
	}

	await sleep(finishMilliseconds);
	const watchedFrom = performance.now();
	await sleep(watchedMilliseconds);
	const watchedUntil = performance.now();
	const broken = [];
	for (const job of jobs) {
		const answer = await call(cluster.entries[1], 'GET', `/batch/${job}`);
		const seen = changes.get(job);
		const idle = measureLongestIdle(seen, watchedFrom, watchedUntil);
		const stops = seen.filter(({how}) => how === 'stopped').length;
		note({
			event: 'checked', job, shown: answer?.body, starts: seen.filter(({isRunning}) => isRunning).length, stops, longestIdleMilliseconds: Math.round(idle),
		});
		if (answer?.body?.state === 'running' && idle >= idleMilliseconds) {
			broken.push(`LOST: nothing of job ${job} ran for ${(idle / 1000).toFixed(1)} s, with room for it on an idle worker; its item was stopped ${stops} times before it reached 1%`);
		}
	}

	cluster.stop();
	return broken;
});

/** Longest time within the given bounds for which a job without an item that is done had no run. */
function measureLongestIdle(changes, from, until) {
	let longest = 0;
	let idleSince = from;
	for (const {at, isRunning, how} of changes) {
		if (isRunning) {
			longest = Math.max(longest, Math.min(at, until) - Math.max(idleSince, from));
		}

		idleSince = isRunning || how === 'done' ? Infinity : at;
	}

	return Math.max(longest, until - Math.max(idleSince, from));
}
