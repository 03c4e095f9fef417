import {checkInput, jobIdSchema, type JobId} from '#core';
import type {HttpReply} from '#kernel';
import {
	describeJob, jobKey, jobRecordSchema,
} from '#recovery';
import {jobsService} from '../jobs/service.js';
import {entryPlugins} from '../plugins.js';
import type {EntryContext} from '../types.js';
import {storeService} from './store.js';

entryPlugins.register({
	kind: 'http-route',
	name: 'show-job',
	summary: 'State and results of one job',
	method: 'GET',
	path: '/v1/jobs/:jobId',
	async handle({parameters}, context) {
		const checked = checkInput(jobIdSchema, parameters['jobId'], 'jobId');
		return checked.kind === 'valid'
			? showJob(checked.value, context)
			: {
				kind: 'problem', problem: {
					status: 400, reason: 'invalid-request', title: 'The job identifier is not valid', findings: checked.findings,
				},
			};
	},
});

/** Describes a job from its driver if this entry owns it, else from the store. */
export async function showJob(job: JobId, {services}: EntryContext): Promise<HttpReply> {
	const driver = services.use(jobsService).find(job);
	if (driver !== undefined) {
		const {record, waitingFor} = driver.read();
		return {kind: 'json', status: 200, body: describeJob(record, waitingFor)};
	}

	const reply = await services.use(storeService).read(jobKey(job));
	switch (reply.kind) {
		case 'found': {
			const checked = checkInput(jobRecordSchema, reply.stored.value);
			return checked.kind === 'valid'
				? {kind: 'json', status: 200, body: describeJob(checked.value)}
				: {kind: 'problem', problem: {status: 500, reason: 'invalid-request', title: 'The stored record of the job cannot be read'}};
		}

		case 'absent': {
			return {kind: 'problem', problem: {status: 404, reason: 'unknown-job', title: 'The job does not exist'}};
		}

		case 'unavailable': {
			return {
				kind: 'problem', problem: {
					status: 503, reason: 'store-unavailable', title: 'The store cannot be read', retryAfterMilliseconds: reply.retryAfterMilliseconds ?? 1000,
				},
			};
		}
	}
}
