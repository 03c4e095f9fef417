import {pause} from '#kernel';
import type {MonotonicTime} from '#core';
import type {JobRecord, JobSubmission} from '#jobs';
import type {CallerAnswer} from '#protocol';
import type {StoredValue, WriteReply} from '#store';
import {storeRetryAfterMilliseconds} from '../constants.js';
import {jobPath} from '../keys.js';
import {storeMonitorService, storePort} from '../ports.js';
import {storeUnavailableAnswer} from './unavailable.js';
import {schedulerService} from '../plugins/scheduler.js';
import type {CoordinatorContext} from '../types.js';

/** Pause before the store is asked again what became of a write. */
const settleRetryMilliseconds = 80;

/**
Stores a job, once however often it arrives.

A write without an answer may still be carried out later. Before such a job is refused, a record in its place makes sure that this cannot happen.
*/
export async function submitJob(submission: JobSubmission, deadline: MonotonicTime, context: CoordinatorContext): Promise<CallerAnswer> {
	const {services, clock} = context;
	// Nothing was sent yet, so that the refusal is certain and comes at once.
	if (services.use(storeMonitorService).isFailing()) {
		return storeUnavailableAnswer;
	}

	const store = services.use(storePort);
	const key = jobPath(submission.job);
	const record: JobRecord = {kind: 'accepted', submission};
	let reply = await store.write(key, record, {expectedVersion: 0});
	if (reply.kind === 'conflict' && isRefusal(reply.current)) {
		reply = await store.write(key, record, {expectedVersion: reply.current?.version ?? 0});
	}

	const decided = decide(reply, submission, context);
	if (decided !== undefined) {
		return decided;
	}

	while (clock.monotonic() < deadline) {
		const settled = await settle(submission, context);
		if (settled !== undefined) {
			return settled;
		}

		await pause(clock, settleRetryMilliseconds);
	}

	return {kind: 'undecided', reason: 'the store did not answer in time'};
}

function isRefusal(current: StoredValue | undefined): boolean {
	return (current?.value as JobRecord | undefined)?.kind === 'refused';
}

function decide(reply: WriteReply, submission: JobSubmission, context: CoordinatorContext): CallerAnswer | undefined {
	switch (reply.kind) {
		case 'written': {
			context.services.use(schedulerService).send({kind: 'submitted', submission});
			return {kind: 'accepted'};
		}

		case 'conflict': {
			return reply.current !== undefined && !isRefusal(reply.current) ? {kind: 'accepted'} : undefined;
		}

		case 'lease-unknown': {
			return undefined;
		}

		case 'unavailable': {
			return reply.effect === 'not-applied'
				? {kind: 'refused', reason: 'store-unavailable', retryAfterMilliseconds: Math.max(storeRetryAfterMilliseconds, reply.retryAfterMilliseconds ?? 0)}
				: undefined;
		}
	}
}

/** Finds out whether the job was stored, or makes it impossible. */
async function settle(submission: JobSubmission, context: CoordinatorContext): Promise<CallerAnswer | undefined> {
	const {services, clock, counters} = context;
	const store = services.use(storePort);
	const key = jobPath(submission.job);
	const present = await store.read(key);
	counters.countRetry('submission-settled');
	switch (present.kind) {
		case 'unavailable': {
			return undefined;
		}

		case 'found': {
			if (!isRefusal(present.stored)) {
				services.use(schedulerService).send({kind: 'submitted', submission});
				return {kind: 'accepted'};
			}

			return storeUnavailableAnswer;
		}

		case 'absent': {
			const reply = await store.write(key, {kind: 'refused', refusedAt: clock.now()} satisfies JobRecord, {expectedVersion: 0});
			return reply.kind === 'written' ? storeUnavailableAnswer : undefined;
		}
	}
}
