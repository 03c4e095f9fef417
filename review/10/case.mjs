#!/usr/bin/env node
/** A cancellation is answered with 410, and the job is stored and run after that: the entry that answered its submission with 504 goes on with it. */
import process from 'node:process';
import {hasTrouble, runCase, sleep} from '../stand-ins-2/harness.mjs';
import {describeStep} from '../stand-ins-2/jobs.mjs';

const racks = ['r1', 'r1', 'r2', 'r2'];
const path = '/usual/a000000000000001';
const silentMilliseconds = 4000;
const [contactMilliseconds, cancelMilliseconds, stopMilliseconds] = [4000, 3000, 400];

process.exit(await runCase(new URL('./', import.meta.url), {entries: 3, racks}, async ({call, entries, note, describeJob, records}, scheduler) => {
	// Neither of these entries schedules, so that the disruption concerns nothing but the submission.
	const [first, second] = [(scheduler + 1) % 3, (scheduler + 2) % 3];
	const body = describeJob(path, [describeStep({
		millicores: 52_000, memoryMegabytes: 140_000, accelerators: 8, estimatedMilliseconds: 40_000,
	})]);
	await sleep(3000);
	entries[first].storeListener.isSilent = hasTrouble;
	const silentUntil = Date.now() + silentMilliseconds;
	note('store', {isSilent: hasTrouble, to: `edge-${first}`});
	await call(first, 'POST', path, {body});
	let cancelled;
	do {
		cancelled = await call(second, 'DELETE', path);
	} while (cancelled === undefined || cancelled.status === 504);

	const cancelledAt = Date.now();
	await sleep(silentUntil - Date.now());
	entries[first].storeListener.isSilent = false;
	note('store', {isSilent: false, to: `edge-${first}`});
	// The work has to be gone after a stretch of this length without a disruption near.
	const calmAt = Math.max(cancelledAt, silentUntil + contactMilliseconds);
	await sleep(calmAt + cancelMilliseconds + stopMilliseconds - Date.now());
	await call(second, 'GET', path);
	return records()
		.filter(({endedAt, startedAt}) => endedAt === undefined && startedAt < calmAt)
		.map(({task, run, worker, startedAt}) => ({
			task, run, worker, startedAfterAnswerMilliseconds: startedAt - cancelledAt, runsSinceAnswerMilliseconds: Date.now() - cancelledAt, answer: cancelled.status,
		}));
}));
