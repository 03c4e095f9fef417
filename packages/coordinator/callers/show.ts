import {pause} from '#kernel';
import {checkInput, type Milliseconds} from '#core';
import {
	jobProgressSchema, jobRecordSchema, type JobKey, type JobState,
} from '#jobs';
import type {CallerAnswer} from '#protocol';
import {
	cancellationPath, jobPath, progressPath,
} from '../keys.js';
import {storePort} from '../ports.js';
import {storeUnavailableAnswer} from './unavailable.js';
import {schedulerService} from '../plugins/scheduler.js';
import type {CoordinatorContext} from '../types.js';

/** Tells a job's state from what is stored; a job counts as ended only when the store holds its end. */
export async function showJob(job: JobKey, context: CoordinatorContext): Promise<CallerAnswer> {
	const known = findKnownState(job, context);
	if (known !== undefined) {
		return {kind: 'state', state: known};
	}

	const store = context.services.use(storePort);
	const [progress, records] = await Promise.all([store.read(progressPath(job)), store.list(jobPath(job))]);
	if (progress.kind === 'unavailable' || records.kind === 'unavailable') {
		return storeUnavailableAnswer;
	}

	const record = records.values.find(({key}) => key === jobPath(job));
	const checkedRecord = record === undefined ? undefined : checkInput(jobRecordSchema, record.value, record.key);
	if (checkedRecord === undefined || (checkedRecord.kind === 'valid' && checkedRecord.value.kind === 'refused')) {
		return {kind: 'absent'};
	}

	if (progress.kind === 'found') {
		const checked = checkInput(jobProgressSchema, progress.stored.value, progress.stored.key);
		return checked.kind === 'valid' ? {kind: 'state', state: checked.value.outcome} : storeUnavailableAnswer;
	}

	const isCancelled = records.values.some(({key}) => key === cancellationPath(job));
	return {kind: 'state', state: isCancelled ? 'cancelled' : 'queued'};
}

/** The scheduler knows its jobs; an end that is not stored yet is not told. */
function findKnownState(job: JobKey, {services}: CoordinatorContext): JobState | undefined {
	const known = services.use(schedulerService).read()?.jobs.get(job);
	if (known === undefined) {
		return undefined;
	}

	const isEnded = known.endedAt !== undefined;
	return isEnded && known.storedVersion < known.version ? 'running' : known.outcome;
}

/** Stores the wish to cancel a job; the scheduler sees it by its watch. */
export async function cancelJob(job: JobKey, {deadline, context}: Readonly<{deadline: Milliseconds; context: CoordinatorContext}>): Promise<CallerAnswer> {
	const {services, clock, log} = context;
	const store = services.use(storePort);
	do {
		const records = await store.list(jobPath(job));
		if (records.kind === 'listed') {
			const record = records.values.find(({key}) => key === jobPath(job));
			if (record === undefined || (record.value as Readonly<{kind?: unknown}>).kind !== 'accepted') {
				return {kind: 'absent'};
			}

			if (records.values.some(({key}) => key === cancellationPath(job))) {
				return {kind: 'cancelled'};
			}

			const reply = await store.write(cancellationPath(job), {cancelledAt: clock.now()}, {expectedVersion: 0});
			if (reply.kind === 'written' || reply.kind === 'conflict') {
				services.use(schedulerService).send({kind: 'cancelled', job});
				log.part('callers').info({job, outcome: reply.kind}, 'cancellation stored');
				return {kind: 'cancelled'};
			}
		}

		await pause(clock, cancelRetryMilliseconds);
	} while (clock.monotonic() < deadline);

	return {kind: 'undecided', reason: 'the store did not answer in time'};
}

/** Pause before a cancellation is tried again. */
const cancelRetryMilliseconds = 120;
