import {checkInput, jobIdSchema, type JobId} from '#core';
import type {HttpReply} from '#kernel';
import {
	describeJob, isTerminal, jobKey, jobRecordSchema, type JobRecord,
} from '#recovery';
import {cancelTimeoutMilliseconds} from '../jobs/constants.js';
import {formatOwnershipKey} from '../jobs/ownership.js';
import {jobsService, type DriverHandle} from '../jobs/service.js';
import {entryPlugins} from '../plugins.js';
import type {EntryContext} from '../types.js';
import {storeService} from './store.js';

entryPlugins.register({
	kind: 'http-route',
	name: 'cancel-job',
	summary: 'Cancels a job; the response states whether it had started',
	method: 'DELETE',
	path: '/v1/jobs/:jobId',
	async handle({parameters}, context) {
		const checked = checkInput(jobIdSchema, parameters['jobId'], 'jobId');
		if (checked.kind === 'invalid') {
			return {
				kind: 'problem', problem: {
					status: 400, reason: 'invalid-request', title: 'The job identifier is not valid', findings: checked.findings,
				},
			};
		}

		const driver = context.services.use(jobsService).find(checked.value);
		return driver === undefined ? requestCancellation(checked.value, context) : cancelOwnedJob(driver, context);
	},
});

/** Waits briefly for the end of the job, so that most callers receive the outcome in the answer. */
async function cancelOwnedJob(driver: DriverHandle, {clock}: EntryContext): Promise<HttpReply> {
	driver.send({kind: 'cancel'});
	await new Promise<void>(resolve => {
		if (driver.read().phase.kind === 'done') {
			resolve();
			return;
		}

		const unsubscribe = driver.subscribe(({phase}) => {
			if (phase.kind === 'done') {
				unsubscribe();
				cancelTimer();
				resolve();
			}
		});
		const cancelTimer = clock.schedule(cancelTimeoutMilliseconds, () => {
			unsubscribe();
			resolve();
		});
	});
	const {record, phase, waitingFor} = driver.read();
	return {kind: 'json', status: phase.kind === 'done' ? 200 : 202, body: describeJob(record, waitingFor)};
}

/** Records the cancellation for the owner, which watches for it; an entry that adopts the job reads it too. */
async function requestCancellation(job: JobId, {services}: EntryContext): Promise<HttpReply> {
	const store = services.use(storeService);
	const reply = await store.read(jobKey(job));
	if (reply.kind === 'absent') {
		return {kind: 'problem', problem: {status: 404, reason: 'unknown-job', title: 'The job does not exist'}};
	}

	const checked = reply.kind === 'found' ? checkInput(jobRecordSchema, reply.stored.value) : undefined;
	if (checked?.kind !== 'valid') {
		return storeUnavailable;
	}

	const record = checked.value;
	if (isTerminal(record)) {
		return {kind: 'json', status: 200, body: describeJob(record)};
	}

	return await writeCancellation(record, services) ? {kind: 'json', status: 202, body: {...describeJob(record), cancelRequested: true}} : storeUnavailable;
}

async function writeCancellation({work: {jobId: job}, owner, zone}: JobRecord, services: EntryContext['services']): Promise<boolean> {
	const store = services.use(storeService);
	const key = formatOwnershipKey({zone, owner, job});
	const marker = await store.read(key);
	if (marker.kind !== 'found') {
		return false;
	}

	const written = await store.write(key, {cancelRequested: true}, {expectedVersion: marker.stored.version});
	return written.kind === 'written';
}

const storeUnavailable: HttpReply = {
	kind: 'problem', problem: {
		status: 503, reason: 'store-unavailable', title: 'The cancellation could not be recorded; try again', retryAfterMilliseconds: 1000,
	},
};
