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
	summary: 'Cancels a job; the answer says whether it had started',
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
		return driver === undefined ? cancelElsewhere(checked.value, context) : cancelOwn(driver, context);
	},
});

/** Waits a while for the end of the job, so that most callers learn the outcome at once. */
async function cancelOwn(driver: DriverHandle, {clock}: EntryContext): Promise<HttpReply> {
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

/** Leaves the wish for the owner, which watches for it; an entry that adopts the job finds it too. */
async function cancelElsewhere(job: JobId, {services}: EntryContext): Promise<HttpReply> {
	const store = services.use(storeService);
	const reply = await store.read(jobKey(job));
	if (reply.kind === 'absent') {
		return {kind: 'problem', problem: {status: 404, reason: 'unknown-job', title: 'No such job'}};
	}

	const checked = reply.kind === 'found' ? checkInput(jobRecordSchema, reply.stored.value) : undefined;
	if (checked?.kind !== 'valid') {
		return unavailable;
	}

	const record = checked.value;
	if (isTerminal(record)) {
		return {kind: 'json', status: 200, body: describeJob(record)};
	}

	return await leaveWish(record, services) ? {kind: 'json', status: 202, body: {...describeJob(record), cancelRequested: true}} : unavailable;
}

async function leaveWish({work: {jobId: job}, owner, zone}: JobRecord, services: EntryContext['services']): Promise<boolean> {
	const store = services.use(storeService);
	const key = formatOwnershipKey({zone, owner, job});
	const marker = await store.read(key);
	if (marker.kind !== 'found') {
		return false;
	}

	const written = await store.write(key, {cancelRequested: true}, {expectedVersion: marker.stored.version});
	return written.kind === 'written';
}

const unavailable: HttpReply = {
	kind: 'problem', problem: {
		status: 503, reason: 'store-unavailable', title: 'The cancellation could not be recorded; ask again', retryAfterMilliseconds: 1000,
	},
};
