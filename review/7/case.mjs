#!/usr/bin/env node
/** The store is down for seconds while short tasks end; those beyond the first 500 ends that a worker lists at a time are run again. */
import process from 'node:process';
import {hasTrouble, runCase, sleep} from '../stand-ins-2/harness.mjs';
import {describeStep} from '../stand-ins-2/jobs.mjs';
import {findRepeatedTasks} from '../stand-ins-2/repeated.mjs';

const racks = ['r1', 'r2', 'r2'];
/** The label of one worker, which alone may run the jobs. */
const requiredLabel = 'r1';
const jobCount = 20;
/** The usual 0.55 jobs a second of the site. */
const jobIntervalMilliseconds = 1800;
const silentMilliseconds = 5000;
const settleMilliseconds = 30_000;
/** How long the first step of the last job takes; those of earlier jobs take longer, so that all end while the store is silent. */
const lastFirstStepMilliseconds = 2000;
/** The store falls silent this long before the first steps are to end; all jobs are stored as begun by then. */
const leadMilliseconds = 300;

/** One task, then small ones; together as many as the widest jobs of the site have. */
const createSteps = firstStepMilliseconds => [
	describeStep({
		millicores: 300, memoryMegabytes: 100, estimatedMilliseconds: firstStepMilliseconds, requiredLabel,
	}),
	describeStep({
		count: 54, millicores: 300, memoryMegabytes: 100, estimatedMilliseconds: 900, workMilliseconds: 700, requiredLabel, after: [0],
	}),
];

process.exit(await runCase(new URL('./', import.meta.url), {entries: 3, racks}, async ({submit, call, records, entries, agents, note}) => {
	const paths = Array.from({length: jobCount}, (_, index) => `/usual/a0000000000001${10 + index}`);
	const firstStepsEndAt = Date.now() + ((jobCount - 1) * jobIntervalMilliseconds) + lastFirstStepMilliseconds;
	for (const [index, path] of paths.entries()) {
		await sleep(firstStepsEndAt - lastFirstStepMilliseconds - ((jobCount - 1 - index) * jobIntervalMilliseconds) - Date.now());
		await submit(index % 3, path, createSteps(firstStepsEndAt - Date.now()));
	}

	await sleep(firstStepsEndAt - leadMilliseconds - Date.now());
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
