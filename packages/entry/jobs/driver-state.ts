import type {Step, WorkerId} from '#core';
import {
	listMembers, assignWriteId, type JobRecord, type PlacedMember,
} from '#recovery';
import type {DriverEffect, DriverState} from './driver-types.js';

export type DriverStep = Step<DriverState, DriverEffect>;

/** Initial driver state for a job whose record has just been written. */
export function createDriverState(record: JobRecord, version: number): DriverState {
	return {
		record,
		version,
		sequence: 0,
		phase: {kind: 'waiting'},
		waitingFor: undefined,
		failures: 0,
		cancelRequested: record.cancelRequested,
		lossReason: undefined,
		ends: new Map(),
		renewedAt: new Map(),
	};
}

/** Writes the next record by compare-and-swap; the driver continues once the store has answered. */
export function writeRecord(state: DriverState, record: JobRecord): DriverStep {
	const sequence = state.sequence + 1;
	const next = assignWriteId({...record, cancelRequested: state.cancelRequested}, sequence);
	return {
		state: {...state, sequence, phase: {kind: 'writing', next, failures: 0}},
		effects: [{kind: 'write-record', record: next, expectedVersion: state.version}],
	};
}

export function listMembersOn(record: JobRecord, worker: WorkerId): readonly PlacedMember[] {
	return listMembers(record).filter(({place}) => place.worker === worker);
}

export function listWorkers(record: JobRecord): readonly WorkerId[] {
	return [...new Set(listMembers(record).map(({place}) => place.worker))];
}

/** Workers with members that have not ended. */
export function listActiveWorkers({record, ends}: DriverState): readonly WorkerId[] {
	return [...new Set(listMembers(record).filter(({member}) => !ends.has(member)).map(({place}) => place.worker))];
}

/** Whether an agent's message concerns the current gang; an adopted gang may still run under the previous owner's attempt. */
export function isCurrentAttempt({record}: DriverState, attempt: number): boolean {
	const lowest = record.state.kind === 'running' ? record.state.heldAs : record.attempt;
	return attempt >= lowest && attempt <= record.attempt;
}

/** Whether the owner has to renew the gang's leases in this phase. */
export function needsRenewal({phase}: DriverState): boolean {
	switch (phase.kind) {
		case 'agreeing': {
			return phase.step === 'commit' || phase.step === 'start';
		}

		case 'writing': {
			return phase.next.state.kind === 'running';
		}

		case 'running': {
			return true;
		}

		case 'waiting':
		case 'placing':
		case 'finding':
		case 'stopping':
		case 'done': {
			return false;
		}
	}
}
