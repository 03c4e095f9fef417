#!/usr/bin/env node
/** The store is down for seconds while short tasks end; those beyond the first 500 ends that a worker lists at a time are run again. */
import process from 'node:process';
import {hasTrouble, runCase, sleep} from '../stand-ins-2/harness.mjs';
import {describeStep} from '../stand-ins-2/jobs.mjs';
import {findRepeatedTasks} from '../stand-ins-2/repeated.mjs';

const racks = ['r1', 'r2', 'r2'];
/** The label of one worker, which alone may run the jobs. */
const requiredLabel = 'r1';
const jobCount = 36;
const silentMilliseconds = 5000;
const settleMilliseconds = 30_000;
const firstStepMilliseconds = 2000;
/** Time from the last start of a first step until the store is silent: all jobs are then stored as begun, and no first step has ended. */
const begunMilliseconds = 1200;
const startMilliseconds = 20_000;

/** One task, then small ones; together as many as the widest jobs of the site have. */
const steps = [
	describeStep({
		millicores: 300, memoryMegabytes: 100, estimatedMilliseconds: firstStepMilliseconds, requiredLabel,
	}),
	describeStep({
		count: 54, millicores: 300, memoryMegabytes: 100, estimatedMilliseconds: 900, workMilliseconds: 700, requiredLabel, after: [0],
	}),
];

process.exit(await runCase(new URL('./', import.meta.url), {entries: 3, racks}, async ({submit, call, records, entries, agents, note}) => {
	const paths = Array.from({length: jobCount}, (_, index) => `/usual/a0000000000001${10 + index}`);
	await Promise.all(paths.map(async (path, index) => submit(index % 3, path, steps)));
	const until = Date.now() + startMilliseconds;
	while (records().length < jobCount && Date.now() < until) {
		await sleep(20);
	}

	await sleep(begunMilliseconds);
	const setSilent = isSilent => {
		for (const {storeListener} of [...entries, ...agents]) {
			storeListener.isSilent = isSilent;
		}

		note('store', {isSilent});
	};

	setSilent(hasTrouble);
	await sleep(silentMilliseconds);
	setSilent(false);
	await sleep(settleMilliseconds);
	await call(0, 'GET', paths[0]);
	const repeated = findRepeatedTasks(records());
	note('repeated', {tasks: repeated.length, starts: records().length});
	return repeated.slice(0, 5);
}));
