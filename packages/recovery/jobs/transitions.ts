import type {
	EntryId, JobWork, RefusalReason, Timestamp,
} from '#core';
import type {
	JobRecord, JobState, MemberResult, PlacedMember,
} from './types.js';

/** An entry that drives jobs. */
export type JobOwner = Pick<JobRecord, 'owner' | 'zone'>;

/** The record of a job that was just submitted. */
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
		writeId: nameWrite(owner, 1, 0),
	};
}

/** Names one write of a record by its writer. */
function nameWrite(owner: EntryId, term: number, sequence: number): string {
	return `${owner}/${term}/${sequence}`;
}

/** Numbers the next write of the owner. */
export function assignWriteId(record: JobRecord, sequence: number): JobRecord {
	return {...record, writeId: nameWrite(record.owner, record.term, sequence)};
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

/** Members that agents may hold under the record's attempt. */
export function listMembers({state}: JobRecord): readonly PlacedMember[] {
	return state.kind === 'placing' || state.kind === 'running' ? state.members : [];
}

function move(record: JobRecord, state: JobState): JobRecord {
	return isTerminal(record) ? record : {...record, state};
}

/** Raises the attempt. Has to be written before any member is reserved. */
export function beginPlacing(record: JobRecord, members: readonly PlacedMember[]): JobRecord {
	return move({...record, attempt: record.attempt + 1}, {kind: 'placing', members});
}

/** Has to be written before any member is started. */
export function beginRunning(record: JobRecord, now: Timestamp): JobRecord {
	return move({...record, hasStarted: true}, {
		kind: 'running', members: listMembers(record), heldAs: record.attempt, hadStarted: record.hasStarted, since: now,
	});
}

/** Puts a job whose gang was given up back into the queue. */
export function requeueJob(record: JobRecord): JobRecord {
	return move(record, {kind: 'queued'});
}

/** A job of which any member failed has failed, with the results of all. */
export function resolveResults(record: JobRecord, results: readonly MemberResult[], now: Timestamp): JobRecord {
	return results.some(({result}) => result.status === 'failed')
		? failJob(record, 'worker-failed', results, now)
		: move(record, {kind: 'finished', results, at: now});
}

export function failJob(record: JobRecord, reason: RefusalReason, results: readonly MemberResult[], now: Timestamp): JobRecord {
	return move(record, {
		kind: 'failed', reason, results, at: now,
	});
}

export function cancelJob(record: JobRecord, now: Timestamp): JobRecord {
	return move(record, {kind: 'cancelled', at: now});
}

/** What is known about a gang after it was stopped. */
export type GangLoss = Readonly<{
	reason: RefusalReason;
	/** Every agent promised that no member of this attempt or an earlier one started. */
	neverStarted: boolean;
	/** An agent or its incarnation is gone, so nobody can say how far its members got. */
	isUncertain: boolean;
	checkpoints: Readonly<Record<string, unknown>>;
}>;

/**
Decides what becomes of a job whose gang was lost.

It is placed again if it did not start, may run twice, or can continue from a checkpoint of every member; otherwise it ends, because starting it again could run it twice.
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

	return loss.isUncertain ? move(record, {kind: 'unknown', reason: loss.reason, at: now}) : failJob(record, loss.reason, [], now);
}

/** Takes back that the present attempt may have started, once every agent has promised that it did not. */
export function revertStart(record: JobRecord): JobRecord {
	return record.state.kind === 'running' ? {...record, hasStarted: record.state.hadStarted} : record;
}

/** Takes over a job whose owner is gone. The compare-and-swap that writes it decides between entries that try at once. */
export function adoptJob(record: JobRecord, {owner, zone}: JobOwner): JobRecord {
	const term = record.term + 1;
	return {
		...record, owner, zone, term, attempt: record.attempt + 1, writeId: nameWrite(owner, term, 0),
	};
}

/** Whether an entry may adopt a job, given the entries that are registered. */
export function canAdopt(record: JobRecord, registered: ReadonlySet<EntryId>): boolean {
	return !isTerminal(record) && !registered.has(record.owner);
}
