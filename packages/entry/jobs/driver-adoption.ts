import type {Timestamp} from '#core';
import {resendDelayMilliseconds, stepTimeoutMilliseconds} from './constants.js';
import {beginStep} from './driver-steps.js';
import {beginStopping, receiveEnd} from './driver-stopping.js';
import {
	listActiveWorkers, listWorkers, listMembersOn, type DriverStep,
} from './driver-state.js';
import type {DriverMessage, DriverPhase, DriverState} from './driver-types.js';

type FindingPhase = Extract<DriverPhase, {kind: 'finding'}>;

/** Queries the agents of an adopted gang for the state of its members. */
export function beginFinding(state: DriverState): DriverStep {
	const {record} = state;
	return {
		state: {...state, phase: {kind: 'finding', found: new Set()}},
		effects: [
			...listWorkers(record).map(worker => ({kind: 'find', record, worker} as const)),
			{kind: 'schedule', delay: stepTimeoutMilliseconds, message: {kind: 'step-timed-out', step: 'find', attempt: record.attempt}},
		],
	};
}

export function receiveFound(state: DriverState, phase: FindingPhase, message: Extract<DriverMessage, {kind: 'found'}>, now: Timestamp): DriverStep {
	const {attempt, worker, answer} = message;
	if (attempt !== state.record.attempt) {
		return {state, effects: []};
	}

	switch (answer.kind) {
		case 'unreachable': {
			return {state, effects: [{kind: 'schedule', delay: resendDelayMilliseconds, message: {kind: 'resend-find', attempt, worker}}]};
		}

		case 'gone': {
			return beginStopping(state, 'lost', 'stale-incarnation');
		}

		case 'found': {
			const reported = new Set(answer.members.map(({member}) => member));
			if (listMembersOn(state.record, worker).some(({member}) => !reported.has(member))) {
				return beginStopping(state, 'lost', 'lease-lapsed');
			}

			let next = state;
			for (const {member, state: end} of answer.members) {
				next = receiveEnd(next, member, end, now).state;
			}

			const found = new Set([...phase.found, worker]);
			return resumeAdoptedGang({...next, phase: {kind: 'finding', found}}, found, now);
		}
	}
}

/** Resumes the gang once all agents have answered and no member is lost; committed members that were not started are started now. */
function resumeAdoptedGang(state: DriverState, found: ReadonlySet<string>, now: Timestamp): DriverStep {
	if (!listWorkers(state.record).every(worker => found.has(worker))) {
		return {state, effects: []};
	}

	for (const end of state.ends.values()) {
		if (end.kind === 'stopped') {
			return beginStopping(state, 'lost', end.reason);
		}

		if (end.kind === 'finished' && end.result.status === 'failed') {
			return beginStopping(state, 'failed', 'worker-failed');
		}
	}

	const last = [...state.ends].at(-1);
	return listActiveWorkers(state).length === 0 && last !== undefined
		? receiveEnd({...state, phase: {kind: 'running'}}, last[0], last[1], now)
		: beginStep(state, 'raise');
}
