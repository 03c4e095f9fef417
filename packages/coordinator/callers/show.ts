import {checkInput} from '#core';
import {
	jobProgressSchema, jobRecordSchema, type JobKey, type JobState,
} from '#jobs';
import type {CallerAnswer} from '#protocol';
import {
	cancellationStoreKey, jobStoreKey, progressStoreKey,
} from '../keys.js';
import {storePort} from '../ports.js';
import {storeUnavailableAnswer} from './unavailable.js';
import {schedulerService} from '../plugins/scheduler.js';
import type {CoordinatorContext} from '../types.js';

/** Returns the state of a job; the job counts as ended only once its end is stored. */
export async function showJob(job: JobKey, context: CoordinatorContext): Promise<CallerAnswer> {
	const scheduledState = findScheduledState(job, context);
	if (scheduledState !== undefined) {
		return {kind: 'state', state: scheduledState};
	}

	const store = context.services.use(storePort);
	const [progress, records] = await Promise.all([store.read(progressStoreKey(job)), store.list(jobStoreKey(job))]);
	if (progress.kind === 'unavailable' || records.kind === 'unavailable') {
		return storeUnavailableAnswer;
	}

	const record = records.values.find(({key}) => key === jobStoreKey(job));
	const checkedRecord = record === undefined ? undefined : checkInput(jobRecordSchema, record.value, record.key);
	if (checkedRecord === undefined || (checkedRecord.kind === 'valid' && checkedRecord.value.kind !== 'accepted')) {
		return {kind: 'absent'};
	}

	if (progress.kind === 'found') {
		const checked = checkInput(jobProgressSchema, progress.stored.value, progress.stored.key);
		return checked.kind === 'valid' ? {kind: 'state', state: checked.value.outcome} : storeUnavailableAnswer;
	}

	const isCancelled = records.values.some(({key}) => key === cancellationStoreKey(job));
	return {kind: 'state', state: isCancelled ? 'cancelled' : 'queued'};
}

/** Looks the job up in this entry's scheduler; an end that is not stored yet is reported as running. */
function findScheduledState(job: JobKey, {services}: CoordinatorContext): JobState | undefined {
	const scheduled = services.use(schedulerService).read()?.jobs.get(job);
	if (scheduled === undefined) {
		return undefined;
	}

	const isEnded = scheduled.endedAt !== undefined;
	return isEnded && scheduled.storedVersion < scheduled.version ? 'running' : scheduled.outcome;
}
