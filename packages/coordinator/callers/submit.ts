import {sleep} from '#kernel';
import type {MonotonicTime} from '#core';
import type {JobRecord, JobSubmission} from '#jobs';
import type {CallerAnswer} from '#protocol';
import type {StoredValue, WriteReply} from '#store';
import {storeRetryAfterMilliseconds} from '../constants.js';
import {jobStoreKey} from '../keys.js';
import {storeMonitorService, storePort} from '../ports.js';
import {storeUnavailableAnswer} from './unavailable.js';
import {schedulerService} from '../plugins/scheduler.js';
import {refusalPermitsService} from '../plugins/withdrawals.js';
import type {CoordinatorContext} from '../types.js';

/** Delay between attempts to read back whether a write was applied. */
const settleRetryMilliseconds = 80;

/**
Stores a job at most once, however often it is submitted.

A write without a reply may still be applied later. Before such a job is refused, a refusal record is stored under its key, so that the late write fails. A refusal record that this write was to replace does not prevent it. A withdrawn job is never replaced: a copy of a submission that was sent before the cancellation cannot be told from a new one.
*/
export async function submitJob(submission: JobSubmission, deadline: MonotonicTime, context: CoordinatorContext): Promise<CallerAnswer> {
	const {services, clock} = context;
	// No write was sent yet, so the refusal is certain and can be returned at once.
	if (services.use(storeMonitorService).isFailing()) {
		return storeUnavailableAnswer;
	}

	const store = services.use(storePort);
	const key = jobStoreKey(submission.job);
	const record: JobRecord = {kind: 'accepted', submission};
	let expectedVersion = 0;
	let reply = await store.write(key, record, {expectedVersion});
	if (reply.kind === 'conflict' && readKind(reply.current) === 'refused' && clock.monotonic() < deadline) {
		expectedVersion = reply.current?.version ?? 0;
		reply = await store.write(key, record, {expectedVersion});
	}

	const answer = interpretReply(reply, submission, context);
	if (answer !== undefined) {
		return answer;
	}

	while (clock.monotonic() < deadline) {
		const settled = await settle(submission, expectedVersion, context);
		if (settled !== undefined) {
			return settled;
		}

		await sleep(clock, settleRetryMilliseconds);
	}

	return {kind: 'undecided', reason: 'the store did not answer in time'};
}

function readKind(current: StoredValue | undefined): JobRecord['kind'] | undefined {
	return (current?.value as JobRecord | undefined)?.kind;
}

/** Answer that the record of a job determines; undefined without a record, and for a refusal, which an earlier submission may have left. */
function answerByRecord(current: StoredValue | undefined): CallerAnswer | undefined {
	switch (readKind(current)) {
		case 'withdrawn': {
			return {kind: 'withdrawn'};
		}

		case 'refused': {
			return undefined;
		}

		// A record that cannot be read may be of an accepted job, whose caller was told so.
		case 'accepted':
		case undefined: {
			return current === undefined ? undefined : {kind: 'accepted'};
		}
	}
}

function interpretReply(reply: WriteReply, submission: JobSubmission, context: CoordinatorContext): CallerAnswer | undefined {
	switch (reply.kind) {
		case 'written': {
			context.services.use(schedulerService).send({kind: 'submitted', submission});
			return {kind: 'accepted'};
		}

		case 'conflict': {
			return answerByRecord(reply.current);
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

/** Reads back whether the job was stored; if it was not, stores a refusal record that prevents it. The write without a reply expects the given version. */
async function settle(submission: JobSubmission, expectedVersion: number, context: CoordinatorContext): Promise<CallerAnswer | undefined> {
	const {services, clock, counters} = context;
	const store = services.use(storePort);
	const key = jobStoreKey(submission.job);
	const current = await store.read(key);
	counters.countRetry('submission-settled');
	if (current.kind === 'unavailable') {
		return undefined;
	}

	const stored = current.kind === 'found' ? current.stored : undefined;
	const answer = answerByRecord(stored);
	if (answer !== undefined) {
		if (answer.kind === 'accepted') {
			services.use(schedulerService).send({kind: 'submitted', submission});
		}

		return answer;
	}

	const version = stored?.version ?? 0;
	if (version !== expectedVersion) {
		return storeUnavailableAnswer;
	}

	// Without the record nothing is certain, and the outcome stays unknown to the caller.
	if (services.use(refusalPermitsService).request().kind === 'refused') {
		counters.countEvent('refusal-record-limited');
		return undefined;
	}

	const reply = await store.write(key, {kind: 'refused', refusedAt: clock.now()} satisfies JobRecord, {expectedVersion: version});
	return reply.kind === 'written' ? storeUnavailableAnswer : undefined;
}
