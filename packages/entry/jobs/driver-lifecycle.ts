import type {Timestamp} from '#core';
import {
	beginPlacing, cancelJob, failJob, isTerminal,
} from '#recovery';
import type {WriteReply} from '#store';
import {beginFinding} from './driver-adoption.js';
import {beginStep} from './driver-steps.js';
import {beginStopping, abandonPlacement} from './driver-stopping.js';
import {writeRecord, type DriverStep} from './driver-state.js';
import type {
	DriverMessage, DriverPhase, DriverState, PlacementAnswer,
} from './driver-types.js';

/** Ends the driver without changing the job, which another entry has adopted or can adopt. */
export function releaseJob(state: DriverState): DriverStep {
	return {state: {...state, phase: {kind: 'done', isOwner: false}}, effects: [{kind: 'concluded', record: state.record, isOwner: false}]};
}

/** Continues from the record that was last written. */
export function continueJob(state: DriverState, now: Timestamp): DriverStep {
	const {record} = state;
	if (isTerminal(record)) {
		return {state: {...state, phase: {kind: 'done', isOwner: true}}, effects: [{kind: 'concluded', record, isOwner: true}]};
	}

	switch (record.state.kind) {
		case 'placing': {
			// An adopted placement is abandoned: no member was started, because `running` is written before any start.
			return state.sequence === 0 || state.cancelRequested ? cancelOrAbandon(state, now) : beginStep(state, 'reserve');
		}

		case 'running': {
			if (state.cancelRequested) {
				return beginStopping(state, 'cancelled', 'cancelled');
			}

			if (record.state.heldAs < record.attempt) {
				return beginFinding(state);
			}

			return state.lossReason === undefined ? beginStep(state, 'start') : beginStopping(state, 'lost', state.lossReason);
		}

		case 'queued': {
			if (state.failures === 0 || state.cancelRequested) {
				return requestPlacement(state, now);
			}

			return {state: {...state, phase: {kind: 'waiting'}}, effects: [{kind: 'back-off', failures: state.failures, message: {kind: 'placement-due'}}]};
		}

		case 'finished':
		case 'failed':
		case 'cancelled':
		case 'unknown': {
			return {state, effects: []};
		}
	}
}

function cancelOrAbandon(state: DriverState, now: Timestamp): DriverStep {
	const abandoned = abandonPlacement(state, state.cancelRequested ? 'cancelled' : 'not-owner');
	if (!state.cancelRequested) {
		return abandoned;
	}

	const written = writeRecord(abandoned.state, cancelJob(abandoned.state.record, now));
	return {state: written.state, effects: [...abandoned.effects, ...written.effects]};
}

function requestPlacement(state: DriverState, now: Timestamp): DriverStep {
	if (state.cancelRequested) {
		return writeRecord(state, cancelJob(state.record, now));
	}

	const {work, submittedAt} = state.record;
	if (work.latestUsefulAt !== undefined && work.latestUsefulAt <= now) {
		return writeRecord(state, failJob(state.record, 'deadline-unreachable', [], now));
	}

	const {jobId: job, plan, gang: shape, preemptible} = work;
	return {
		state: {...state, phase: {kind: 'placing'}},
		effects: [{
			kind: 'place', request: {
				job, plan, shape, preemptible, submittedAt,
			},
		}],
	};
}

/** Requests a placement when the backoff ends, and handles the answer. */
export function receivePlacementMessage(state: DriverState, message: Extract<DriverMessage, {kind: 'placement-due' | 'placed'}>, now: Timestamp): DriverStep {
	switch (message.kind) {
		case 'placement-due': {
			return state.phase.kind === 'waiting' ? requestPlacement(state, now) : {state, effects: []};
		}

		case 'placed': {
			return state.phase.kind === 'placing' ? receivePlacement(state, message.answer, now) : {state, effects: []};
		}
	}
}

function receivePlacement(state: DriverState, answer: PlacementAnswer, now: Timestamp): DriverStep {
	switch (answer.kind) {
		case 'placed': {
			return writeRecord({
				...state, waitingFor: undefined, ends: new Map(), renewedAt: new Map(),
			}, beginPlacing(state.record, answer.members));
		}

		case 'waiting': {
			const failures = state.failures + 1;
			return {
				state: {
					...state, phase: {kind: 'waiting'}, waitingFor: answer.reason, failures,
				},
				effects: [{kind: 'back-off', failures, message: {kind: 'placement-due'}}],
			};
		}

		case 'impossible': {
			return writeRecord(state, failJob(state.record, 'impossible-shape', [], now));
		}
	}
}

export function receiveStoreMessage(state: DriverState, message: Extract<DriverMessage, {kind: 'stored' | 'write-due'}>, now: Timestamp): DriverStep {
	const {phase} = state;
	if (phase.kind !== 'writing' || phase.next.writeId !== message.writeId) {
		return {state, effects: []};
	}

	switch (message.kind) {
		case 'write-due': {
			return {state, effects: [{kind: 'write-record', record: phase.next, expectedVersion: state.version}]};
		}

		case 'stored': {
			return receiveStored(state, phase, message.reply, now);
		}
	}
}

/** A conflict with this driver's own write means that the answer to it was lost; a conflict with another owner's, that the job was adopted. */
function receiveStored(state: DriverState, phase: Extract<DriverPhase, {kind: 'writing'}>, reply: WriteReply, now: Timestamp): DriverStep {
	switch (reply.kind) {
		case 'written': {
			return continueJob({...state, record: phase.next, version: reply.version}, now);
		}

		case 'conflict': {
			const current = reply.current?.value as DriverState['record'] | undefined;
			if (reply.current === undefined || current?.owner !== state.record.owner || current.term !== state.record.term) {
				return releaseJob(state);
			}

			const refreshed = {...state, version: reply.current.version, cancelRequested: state.cancelRequested || current.cancelRequested};
			return current.writeId === phase.next.writeId ? continueJob({...refreshed, record: phase.next}, now) : writeRecord(refreshed, phase.next);
		}

		case 'lease-unknown':
		case 'unavailable': {
			const failures = phase.failures + 1;
			return {
				state: {...state, phase: {...phase, failures}},
				effects: [{kind: 'back-off', failures, message: {kind: 'write-due', writeId: phase.next.writeId}}],
			};
		}
	}
}

/** Cancels the job as soon as its phase allows; repeated cancellations have no effect. */
export function requestCancel(previous: DriverState, now: Timestamp): DriverStep {
	const {phase} = previous;
	const state = {...previous, cancelRequested: true};
	if (previous.cancelRequested) {
		return {state, effects: []};
	}

	switch (phase.kind) {
		case 'waiting':
		case 'placing': {
			return writeRecord(state, cancelJob(state.record, now));
		}

		case 'agreeing': {
			return phase.step === 'reserve' || phase.step === 'commit' ? cancelOrAbandon(state, now) : beginStopping(state, 'cancelled', 'cancelled');
		}

		case 'finding':
		case 'running': {
			return beginStopping(state, 'cancelled', 'cancelled');
		}

		case 'writing':
		case 'stopping':
		case 'done': {
			return {state, effects: []};
		}
	}
}
