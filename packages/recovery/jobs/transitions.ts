import type {
	EntryId, JobWork, RefusalReason, Timestamp,
} from '#core';
import type {
	JobRecord, JobState, MemberResult, PlacedMember,
} from './types.js';

/** An entry that owns jobs, with its zone. */
export type JobOwner = Pick<JobRecord, 'owner' | 'zone'>;

/** Creates the record of a newly submitted job. */
export function createJobRecord(work: JobWork, {owner, zone}: JobOwner, submittedAt: Timestamp): JobRecord {
	return {
		work,
		submittedAt,
		owner,
		zone,
		term: 1,
		attempt: 0,
		state: {kind: 'queued'},
		hasStarted: false,
		cancelRequested: false,
		checkpoints: {},
		writeId: formatWriteId(owner, 1, 0),
	};
}

/** Formats an identifier of one write of a record, unique among writers. */
function formatWriteId(owner: EntryId, term: number, sequence: number): string {
	return `${owner}/${term}/${sequence}`;
}

/** Assigns the identifier of the owner's next write. */
export function assignWriteId(record: JobRecord, sequence: number): JobRecord {
	return {...record, writeId: formatWriteId(record.owner, record.term, sequence)};
}

export function isTerminal({state}: JobRecord): boolean {
	switch (state.kind) {
		case 'queued':
		case 'placing':
		case 'running': {
			return false;
		}

		case 'finished':
		case 'failed':
		case 'cancelled':
		case 'unknown': {
			return true;
		}
	}
}

/** Members that agents may hold in the record's attempt. */
export function listMembers({state}: JobRecord): readonly PlacedMember[] {
	return state.kind === 'placing' || state.kind === 'running' ? state.members : [];
}

function transition(record: JobRecord, state: JobState): JobRecord {
	return isTerminal(record) ? record : {...record, state};
}

/** Starts a new attempt. The record must be written before any member is reserved. */
export function beginPlacing(record: JobRecord, members: readonly PlacedMember[]): JobRecord {
	return transition({...record, attempt: record.attempt + 1}, {kind: 'placing', members});
}

/** The record must be written before any member is started. */
export function beginRunning(record: JobRecord, now: Timestamp): JobRecord {
	return transition({...record, hasStarted: true}, {
		kind: 'running', members: listMembers(record), heldAs: record.attempt, hadStarted: record.hasStarted, since: now,
	});
}

/** Returns a job to the queue after its gang was released. */
export function requeueJob(record: JobRecord): JobRecord {
	return transition(record, {kind: 'queued'});
}

/** Finishes a job with the results of all members; it fails if any member failed. */
export function resolveResults(record: JobRecord, results: readonly MemberResult[], now: Timestamp): JobRecord {
	return results.some(({result}) => result.status === 'failed')
		? failJob(record, 'worker-failed', results, now)
		: transition(record, {kind: 'finished', results, at: now});
}

export function failJob(record: JobRecord, reason: RefusalReason, results: readonly MemberResult[], now: Timestamp): JobRecord {
	return transition(record, {
		kind: 'failed', reason, results, at: now,
	});
}

export function cancelJob(record: JobRecord, now: Timestamp): JobRecord {
	return transition(record, {kind: 'cancelled', at: now});
}

/** What is known about the members of a gang after it was stopped. */
export type GangLoss = Readonly<{
	reason: RefusalReason;
	/** Whether every agent confirmed that no member of this or an earlier attempt started. */
	neverStarted: boolean;
	/** Whether an agent or its incarnation was lost, so that the progress of its members is unknown. */
	isUncertain: boolean;
	checkpoints: Readonly<Record<string, unknown>>;
}>;

/**
Decides whether a job whose gang was lost is requeued.

It is placed again if it did not start, is idempotent, or has a checkpoint of every member. Otherwise it ends, because starting it again could run it twice.
*/
export function resolveGangLoss(record: JobRecord, loss: GangLoss, now: Timestamp): JobRecord {
	const isCheckpointed = listMembers(record).every(({member}) => loss.checkpoints[member] !== undefined);
	if (loss.neverStarted) {
		return requeueJob(revertStart(record));
	}

	if (isCheckpointed) {
		return requeueJob({...record, checkpoints: loss.checkpoints});
	}

	if (record.work.idempotent || !record.hasStarted) {
		return requeueJob(record);
	}

	return loss.isUncertain ? transition(record, {kind: 'unknown', reason: loss.reason, at: now}) : failJob(record, loss.reason, [], now);
}

/** Restores `hasStarted` to its value before the current attempt, after every agent confirmed that the attempt did not start. */
export function revertStart(record: JobRecord): JobRecord {
	return record.state.kind === 'running' ? {...record, hasStarted: record.state.hadStarted} : record;
}

/** Transfers a job whose owner is no longer registered to another entry. The compare-and-swap of the record decides between concurrent adopters. */
export function adoptJob(record: JobRecord, {owner, zone}: JobOwner): JobRecord {
	const term = record.term + 1;
	return {
		...record, owner, zone, term, attempt: record.attempt + 1, writeId: formatWriteId(owner, term, 0),
	};
}

/** Whether a job may be adopted, given the registered entries. */
export function canAdopt(record: JobRecord, registered: ReadonlySet<EntryId>): boolean {
	return !isTerminal(record) && !registered.has(record.owner);
}
