import {sleep, type Clock} from '#kernel';
import {checkInput, type MonotonicTime} from '#core';
import {jobRecordSchema, type JobKey, type JobRecord} from '#jobs';
import type {CallerAnswer} from '#protocol';
import type {StoredValue, TransactionalStore} from '#store';
import {cancellationStoreKey, jobStoreKey} from '../keys.js';
import {storePort} from '../ports.js';
import {schedulerService} from '../plugins/scheduler.js';
import type {CoordinatorContext} from '../types.js';

/** Delay before storing a cancellation is retried. */
const cancellationRetryMilliseconds = 120;

export type CancellationOptions = Readonly<{
	deadline: MonotonicTime;
	/** Whether a submission of the job may still be stored although its caller was not told so. */
	isUndecided: boolean;
	context: CoordinatorContext;
}>;

/** Stores the cancellation of a job; the scheduler receives it through its watch. */
export async function cancelJob(job: JobKey, {deadline, isUndecided, context}: CancellationOptions): Promise<CallerAnswer> {
	const {services, clock} = context;
	const store = services.use(storePort);
	do {
		const records = await store.list(jobStoreKey(job));
		const answer = records.kind === 'listed' ? await cancelStored(job, records.values, isUndecided, context) : undefined;
		if (answer !== undefined) {
			return answer;
		}

		await sleep(clock, cancellationRetryMilliseconds);
	} while (clock.monotonic() < deadline);

	return {kind: 'undecided', reason: 'the store did not answer in time'};
}

async function cancelStored(job: JobKey, values: readonly StoredValue[], isUndecided: boolean, {services, clock, log}: CoordinatorContext): Promise<CallerAnswer | undefined> {
	const store = services.use(storePort);
	const record = values.find(({key}) => key === jobStoreKey(job));
	const checked = record === undefined ? undefined : checkInput(jobRecordSchema, record.value, record.key);
	if (checked?.kind === 'invalid') {
		return {kind: 'absent'};
	}

	if (checked?.value.kind !== 'accepted') {
		return !isUndecided || await preventSubmission(job, record?.version ?? 0, {store, clock}) ? {kind: 'absent'} : undefined;
	}

	if (values.some(({key}) => key === cancellationStoreKey(job))) {
		return {kind: 'cancelled'};
	}

	const reply = await store.write(cancellationStoreKey(job), {cancelledAt: clock.now()}, {expectedVersion: 0});
	if (reply.kind !== 'written' && reply.kind !== 'conflict') {
		return undefined;
	}

	services.use(schedulerService).send({kind: 'cancelled', job});
	log.withPrefix('callers').info({job, outcome: reply.kind}, 'stored the cancellation');
	return {kind: 'cancelled'};
}

/** Replaces the record of the given version, which an unanswered submission expects, by a refusal. */
async function preventSubmission(job: JobKey, expectedVersion: number, {store, clock}: Readonly<{store: TransactionalStore; clock: Clock}>): Promise<boolean> {
	const reply = await store.write(jobStoreKey(job), {kind: 'refused', refusedAt: clock.now()} satisfies JobRecord, {expectedVersion});
	return reply.kind === 'written';
}
