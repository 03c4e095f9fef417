#!/usr/bin/env node
/** Scheduled jobs that run many times come at once; every entry runs out of memory, and again after each restart. */
import process from 'node:process';
import {hasTrouble, runCase, sleep} from '../stand-ins-2/harness.mjs';
import {describeSchedule, describeStep} from '../stand-ins-2/jobs.mjs';
import {findUnstartedJobs} from '../stand-ins-2/unstarted.mjs';

const prefix = '/usual/';
const racks = ['r1', 'r1', 'r2', 'r2'];
const jobCount = 50;
/** 1.4 jobs a second: the usual traffic of the site file, times the 2.6 of its largest burst. */
const jobIntervalMilliseconds = 700;
const intervalMilliseconds = 60_000;
const usualTimes = 8;
const manyTimes = 1000;
const finishMilliseconds = 14_000;
const attempts = 5;
const retryMilliseconds = 1000;
const watchMilliseconds = 10_000;

/** As wide as the usual `chill-roster`. */
const steps = [describeStep({
	count: 3, millicores: 4000, memoryMegabytes: 4000, estimatedMilliseconds: 500,
})];

/** Asks for a job at one entry after the other, as a client with retries does; returns the last status. */
async function ask(call, path) {
	let answer;
	for (let attempt = 0; attempt < attempts && answer?.status !== 200; attempt++) {
		await sleep(attempt === 0 ? 0 : retryMilliseconds);
		answer = await call(attempt % 3, 'GET', path);
	}

	return answer?.status;
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
	const states = await Promise.all(listAccepted().map(async ({identifier}) => ({job: identifier, lastStatus: await ask(call, `${prefix}${identifier}`)})));
	return [...states.filter(({lastStatus}) => lastStatus !== 200).map(({job}) => ({job, gets: 'no answer in time'})), ...unstarted];
}));
