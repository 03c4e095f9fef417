import {
	assertNever, checkInput, type Milliseconds, type MonotonicTime,
} from '#core';
import {jobRecordSchema, maximumRequestCharacters, type JobSubmission} from '#jobs';
import type {CallerAnswer, CallerRefusalReason} from '#protocol';
import {jobStoreKey} from '../keys.js';
import {storePort} from '../ports.js';
import {admissionService} from '../plugins/admission.js';
import type {CoordinatorContext} from '../types.js';
import {submitJob} from './submit.js';
import {storeUnavailableAnswer} from './unavailable.js';

/** Stores a job if the scheduler has memory for it and it is not bound to end too late. */
export async function submitWithinBudget(submission: JobSubmission, deadline: MonotonicTime, context: CoordinatorContext): Promise<CallerAnswer> {
	if (JSON.stringify(submission.request).length > maximumRequestCharacters) {
		return {kind: 'invalid', findings: [{place: 'steps', message: `must take at most ${maximumRequestCharacters} characters`}]};
	}

	const decision = context.services.use(admissionService).request(submission);
	switch (decision.kind) {
		case 'admitted': {
			return submitJob(submission, deadline, context);
		}

		case 'refused': {
			return refuse('too-many-tasks', decision.retryAfterMilliseconds, submission, context);
		}

		case 'too-late': {
			return refuse('no-capacity-in-time', decision.retryAfterMilliseconds, submission, context);
		}

		case 'too-large': {
			return {kind: 'invalid', findings: [{place: 'steps', message: `must have at most about ${decision.maximumTasks} tasks that are due at the same time`}]};
		}

		default: {
			return assertNever(decision);
		}
	}
}

async function refuse(reason: CallerRefusalReason, retryAfterMilliseconds: Milliseconds, submission: JobSubmission, context: CoordinatorContext): Promise<CallerAnswer> {
	return await findEarlierAnswer(submission, context) ?? {kind: 'refused', reason, retryAfterMilliseconds};
}

/** A retry of a job that was accepted is not refused, whatever the others need meanwhile. */
async function findEarlierAnswer({job}: JobSubmission, {services}: CoordinatorContext): Promise<CallerAnswer | undefined> {
	const current = await services.use(storePort).read(jobStoreKey(job));
	if (current.kind === 'unavailable') {
		return storeUnavailableAnswer;
	}

	const checked = current.kind === 'found' ? checkInput(jobRecordSchema, current.stored.value, current.stored.key) : undefined;
	return checked?.kind === 'valid' && checked.value.kind !== 'refused' ? {kind: checked.value.kind} : undefined;
}
