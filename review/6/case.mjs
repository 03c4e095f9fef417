#!/usr/bin/env node
/** Scheduled jobs that run many times come at once; every entry runs out of memory, and again after each restart. */
import process from 'node:process';
import {hasTrouble, runCase, sleep} from '../stand-ins-2/harness.mjs';
import {describeSchedule, describeStep} from '../stand-ins-2/jobs.mjs';
import {findUnstartedJobs} from '../stand-ins-2/unstarted.mjs';

const prefix = '/usual/';
const racks = ['r1', 'r1', 'r2', 'r2'];
/** 8 jobs in 5.3 s: the usual 0.55 a second of the site, times the 2.4 of its bursts of 6 s. */
const jobCount = 8;
const jobIntervalMilliseconds = 755;
const intervalMilliseconds = 60_000;
const usualTimes = 8;
const manyTimes = 1000;
const finishMilliseconds = 14_000;
const attempts = 5;
const retryMilliseconds = 1000;
const watchMilliseconds = 10_000;

/** Less than half as wide as the widest jobs of the site. */
const steps = [describeStep({
	count: 20, millicores: 4000, memoryMegabytes: 4000, estimatedMilliseconds: 500,
})];

/** Asks for a job at one entry after the other, as a client with retries does. Tells whether any of them answered, with another answer than that there is no such job. */
async function isAnswered(call, path) {
	for (let attempt = 0; attempt < attempts; attempt++) {
		await sleep(attempt === 0 ? 0 : retryMilliseconds);
		const answer = await call(attempt % 3, 'GET', path);
		if (answer !== undefined) {
			return answer.status !== 410;
		}
	}

	return false;
}

process.exit(await runCase(new URL('./', import.meta.url), {entries: 3, racks}, async deployment => {
	const {submit, call, listAccepted, note} = deployment;
	for (let index = 0; index < jobCount; index++) {
		const schedule = describeSchedule({times: hasTrouble ? manyTimes : usualTimes, firstAt: Date.now() + 1000, intervalMilliseconds});
		// A client doesn't wait for the others' answers.
		submit(index % 3, `${prefix}a0000000000000${10 + index}`, steps, {schedule});
		await sleep(jobIntervalMilliseconds);
	}

	await sleep(finishMilliseconds);
	const unstarted = await findUnstartedJobs(deployment, Date.now() + watchMilliseconds);
	note('accepted', {jobs: listAccepted().length});
	const asked = await Promise.all(listAccepted().map(async ({identifier}) => ({job: identifier, hasAnswer: await isAnswered(call, `${prefix}${identifier}`)})));
	return [...asked.filter(({hasAnswer}) => !hasAnswer).map(({job}) => ({job, gets: 'no answer in time'})), ...unstarted];
}));
