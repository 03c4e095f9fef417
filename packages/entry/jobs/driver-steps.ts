import type {MonotonicTime, Timestamp, WorkerId} from '#core';
import {beginRunning} from '#recovery';
import {reserveTimeoutMilliseconds, resendDelayMilliseconds, stepTimeoutMilliseconds} from './constants.js';
import {beginStopping, abandonPlacement} from './driver-stopping.js';
import {
	listActiveWorkers, listWorkers, listMembersOn, writeRecord, type DriverStep,
} from './driver-state.js';
import type {
	AgentStep, DriverEffect, DriverMessage, DriverPhase, DriverState,
} from './driver-types.js';

type CurrentTime = Readonly<{now: Timestamp; monotonic: MonotonicTime}>;
type AgreeingPhase = Extract<DriverPhase, {kind: 'agreeing'}>;

/** Sends a step to every agent of the gang. */
export function beginStep(state: DriverState, step: AgentStep): DriverStep {
	const delay = step === 'reserve' ? reserveTimeoutMilliseconds : stepTimeoutMilliseconds;
	return {
		state: {...state, phase: {kind: 'agreeing', step, accepted: new Set()}},
		effects: [
			...listActiveWorkers(state).map(worker => createStepEffect(state, step, worker)),
			{kind: 'schedule', delay, message: {kind: 'step-timed-out', step, attempt: state.record.attempt}},
		],
	};
}

function createStepEffect({record}: DriverState, step: AgentStep, worker: WorkerId): DriverEffect {
	switch (step) {
		case 'reserve': {
			const members = listMembersOn(record, worker).map(({member, accelerators}) => ({member, accelerators}));
			return {
				kind: 'reserve', record, worker, members,
			};
		}

		case 'start': {
			const members = new Set(listMembersOn(record, worker).map(({member}) => String(member)));
			const checkpoints = Object.fromEntries(Object.entries(record.checkpoints).filter(([member]) => members.has(member)));
			return {
				kind: 'start', record, worker, checkpoints,
			};
		}

		case 'commit':
		case 'raise': {
			return {kind: step, record, worker};
		}
	}
}

/** Handles an agent's answer to a step; the next step begins only when all agents have accepted. */
export function receiveStepAnswer(state: DriverState, phase: AgreeingPhase, message: Extract<DriverMessage, {kind: 'answered'}>, time: CurrentTime): DriverStep {
	const {step, attempt, worker, answer} = message;
	if (step !== phase.step || attempt !== state.record.attempt) {
		return {state, effects: []};
	}

	switch (answer.kind) {
		case 'accepted': {
			const accepted = new Set([...phase.accepted, worker]);
			const renewedAt = new Map(state.renewedAt).set(worker, time.monotonic);
			const next = {...state, renewedAt, phase: {...phase, accepted}};
			const isComplete = listActiveWorkers(next).every(active => accepted.has(active));
			return isComplete ? completeStep(next, step, time) : {state: next, effects: []};
		}

		case 'reclaiming': {
			return scheduleResend(state, message, answer.retryAfterMilliseconds);
		}

		case 'unreachable': {
			return scheduleResend(state, message, resendDelayMilliseconds);
		}

		case 'refused': {
			return failStep(state, step, answer.reason);
		}

		case 'gone': {
			return failStep(state, step, 'stale-incarnation');
		}
	}
}

function scheduleResend(state: DriverState, {step, attempt, worker}: Extract<DriverMessage, {kind: 'answered'}>, delay: number): DriverStep {
	return {
		state, effects: [{
			kind: 'schedule', delay, message: {
				kind: 'resend-step', step, attempt, worker,
			},
		}],
	};
}

export function resendStep(state: DriverState, phase: AgreeingPhase, {step, attempt, worker}: Extract<DriverMessage, {kind: 'resend-step'}>): DriverStep {
	const isDue = phase.step === step && attempt === state.record.attempt && !phase.accepted.has(worker) && listActiveWorkers(state).includes(worker);
	return {state, effects: isDue ? [createStepEffect(state, step, worker)] : []};
}

/** Abandons a gang that has not started; stops every member of one that may have started. */
export function failStep(state: DriverState, step: AgentStep, reason: Parameters<typeof abandonPlacement>[1]): DriverStep {
	switch (step) {
		case 'reserve':
		case 'commit': {
			return abandonPlacement(state, reason);
		}

		case 'raise':
		case 'start': {
			return beginStopping(state, 'lost', reason);
		}
	}
}

function completeStep(state: DriverState, step: AgentStep, {now, monotonic}: CurrentTime): DriverStep {
	switch (step) {
		case 'reserve': {
			return beginStep(state, 'commit');
		}

		case 'commit': {
			return writeRecord({...state, ends: new Map()}, beginRunning(state.record, now));
		}

		case 'raise': {
			return beginStep(state, 'start');
		}

		case 'start': {
			const renewedAt = new Map(listWorkers(state.record).map(worker => [worker, monotonic] as const));
			return {state: {...state, renewedAt, phase: {kind: 'running'}}, effects: []};
		}
	}
}
