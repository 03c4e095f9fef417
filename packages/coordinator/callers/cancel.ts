import {sleep} from '#kernel';
import {checkInput, type MonotonicTime} from '#core';
import {jobRecordSchema, type JobKey, type JobRecord} from '#jobs';
import type {CallerAnswer} from '#protocol';
import type {StoredValue} from '#store';
import {cancellationStoreKey, jobStoreKey} from '../keys.js';
import {storePort} from '../ports.js';
import {schedulerService} from '../plugins/scheduler.js';
import {withdrawalsService} from '../plugins/withdrawals.js';
import type {CoordinatorContext} from '../types.js';

/** Delay before storing a cancellation is retried. */
const cancellationRetryMilliseconds = 120;

/**
Stores the cancellation of a job; the scheduler receives it through its watch.

A job that is not accepted is withdrawn: a submission of it may still be processed by a paused entry, or be written late, and would run although its caller was told that the job does not exist.
*/
export async function cancelJob(job: JobKey, deadline: MonotonicTime, context: CoordinatorContext): Promise<CallerAnswer> {
	const {services, clock} = context;
	const store = services.use(storePort);
	do {
		const records = await store.list(jobStoreKey(job));
		const answer = records.kind === 'listed' ? await cancelStored(job, records.values, context) : undefined;
		if (answer !== undefined) {
			return answer;
		}

		await sleep(clock, cancellationRetryMilliseconds);
	} while (clock.monotonic() < deadline);

	return {kind: 'undecided', reason: 'the store did not answer in time'};
}

async function cancelStored(job: JobKey, values: readonly StoredValue[], context: CoordinatorContext): Promise<CallerAnswer | undefined> {
	const record = values.find(({key}) => key === jobStoreKey(job));
	if (record === undefined) {
		return withdraw(job, 0, context);
	}

	const checked = checkInput(jobRecordSchema, record.value, record.key);
	if (checked.kind === 'invalid') {
		return {kind: 'absent'};
	}

	switch (checked.value.kind) {
		case 'withdrawn': {
			return {kind: 'absent'};
		}

		case 'refused': {
			return withdraw(job, record.version, context);
		}

		case 'accepted': {
			return values.some(({key}) => key === cancellationStoreKey(job)) ? {kind: 'cancelled'} : cancelAccepted(job, record.version, context);
		}
	}
}

/** Stores a cancellation beside the accepted job; if the job's records are removed at that moment, it would be left over. */
async function cancelAccepted(job: JobKey, version: number, {services, clock, log}: CoordinatorContext): Promise<CallerAnswer | undefined> {
	const reply = await services.use(storePort).commit({
		conditions: [{key: jobStoreKey(job), expectedVersion: version}, {key: cancellationStoreKey(job), expectedVersion: 0}],
		puts: [{key: cancellationStoreKey(job), value: {cancelledAt: clock.now()}}],
		removals: [],
	});
	if (reply.kind !== 'committed') {
		return undefined;
	}

	services.use(schedulerService).send({kind: 'cancelled', job});
	log.withPrefix('callers').info({job}, 'stored the cancellation');
	return {kind: 'cancelled'};
}

/** Stores a record that every submission sent so far runs into, in place of the record of the given version. */
async function withdraw(job: JobKey, expectedVersion: number, {services, clock, log}: CoordinatorContext): Promise<CallerAnswer | undefined> {
	const permit = services.use(withdrawalsService).request();
	if (permit.kind === 'refused') {
		return {kind: 'refused', reason: 'too-many-withdrawals', retryAfterMilliseconds: permit.retryAfterMilliseconds};
	}

	const reply = await services.use(storePort).write(jobStoreKey(job), {kind: 'withdrawn', withdrawnAt: clock.now()} satisfies JobRecord, {expectedVersion});
	if (reply.kind !== 'written') {
		return undefined;
	}

	log.withPrefix('callers').info({job}, 'withdrew a job that is not accepted');
	return {kind: 'absent'};
}
