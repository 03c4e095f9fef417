import {
	assertNever, type MonotonicTime, type Timestamp,
} from '#core';
import {gangLeaseMilliseconds} from '#protocol';
import {leaseExpiryMarginMilliseconds} from './constants.js';
import {receiveFound} from './driver-adoption.js';
import {failStep, receiveStepAnswer, resendStep} from './driver-steps.js';
import {
	beginStopping, concludeStop, receiveEnd, receiveEnds, receiveEndsAfterStop, receiveStopAnswer, resendStop,
} from './driver-stopping.js';
import {
	releaseJob, continueJob, receivePlacementMessage, receiveStoreMessage, requestCancel,
} from './driver-lifecycle.js';
import {isCurrentAttempt, type DriverStep} from './driver-state.js';
import type {DriverMessage, DriverState} from './driver-types.js';

type CurrentTime = Readonly<{now: Timestamp; monotonic: MonotonicTime}>;

/** Drives one job: places its gang, starts all members together, and concludes the job. */
export function receiveDriverMessage(state: DriverState, message: DriverMessage, time: CurrentTime): DriverStep {
	switch (message.kind) {
		case 'opened': {
			return continueJob(state, time.now);
		}

		case 'placement-due':
		case 'placed': {
			return receivePlacementMessage(state, message, time.now);
		}

		case 'stored':
		case 'write-due': {
			return receiveStoreMessage(state, message, time.now);
		}

		case 'answered':
		case 'resend-step':
		case 'found':
		case 'resend-find':
		case 'stop-answered':
		case 'resend-stop':
		case 'step-timed-out': {
			return receiveStepMessage(state, message, time);
		}

		case 'ended':
		case 'renewed':
		case 'renewal-failed':
		case 'members-ended':
		case 'lapsed': {
			return receiveGangMessage(state, message, time);
		}

		case 'cancel': {
			return requestCancel(state, time.now);
		}

		case 'release': {
			return releaseJob(state);
		}

		default: {
			return assertNever(message);
		}
	}
}

type StepMessage = Extract<DriverMessage, {kind: 'answered' | 'resend-step' | 'found' | 'resend-find' | 'stop-answered' | 'resend-stop' | 'step-timed-out'}>;

/** Handles messages about the step in progress; messages that arrive after it are ignored. */
function receiveStepMessage(state: DriverState, message: StepMessage, time: CurrentTime): DriverStep {
	const {phase} = state;
	switch (message.kind) {
		case 'answered': {
			return phase.kind === 'agreeing' ? receiveStepAnswer(state, phase, message, time) : {state, effects: []};
		}

		case 'resend-step': {
			return phase.kind === 'agreeing' ? resendStep(state, phase, message) : {state, effects: []};
		}

		case 'found': {
			return receiveFoundMessage(state, message, time.now);
		}

		case 'resend-find': {
			const isDue = message.attempt === state.record.attempt && (phase.kind === 'finding' || phase.kind === 'stopping');
			return {state, effects: isDue ? [{kind: 'find', record: state.record, worker: message.worker}] : []};
		}

		case 'stop-answered': {
			return phase.kind === 'stopping' ? receiveStopAnswer(state, phase, message, time.now) : {state, effects: []};
		}

		case 'resend-stop': {
			return phase.kind === 'stopping' ? resendStop(state, phase, message) : {state, effects: []};
		}

		case 'step-timed-out': {
			return message.attempt === state.record.attempt ? receiveStepTimeout(state, message, time.now) : {state, effects: []};
		}
	}
}

function receiveFoundMessage(state: DriverState, message: Extract<DriverMessage, {kind: 'found'}>, now: Timestamp): DriverStep {
	const {phase} = state;
	switch (phase.kind) {
		case 'finding': {
			return receiveFound(state, phase, message, now);
		}

		case 'stopping': {
			return receiveEndsAfterStop(state, phase, message, now);
		}

		case 'running': {
			return message.answer.kind === 'found' && message.attempt === state.record.attempt
				? receiveEnds(state, message.answer.members, now)
				: {state, effects: []};
		}

		case 'waiting':
		case 'placing':
		case 'writing':
		case 'agreeing':
		case 'done': {
			return {state, effects: []};
		}
	}
}

type GangMessage = Extract<DriverMessage, {kind: 'ended' | 'renewed' | 'renewal-failed' | 'members-ended' | 'lapsed'}>;

/** Handles messages about the job's current gang; messages about other attempts are ignored. */
function receiveGangMessage(state: DriverState, message: GangMessage, {now, monotonic}: CurrentTime): DriverStep {
	if (!isCurrentAttempt(state, message.attempt)) {
		return {state, effects: []};
	}

	switch (message.kind) {
		case 'ended': {
			return receiveEnd(state, message.member, message.state, now);
		}

		case 'renewed': {
			return {state: {...state, renewedAt: new Map(state.renewedAt).set(message.worker, monotonic)}, effects: []};
		}

		case 'renewal-failed': {
			const renewedAt = state.renewedAt.get(message.worker) ?? monotonic;
			return renewedAt + gangLeaseMilliseconds + leaseExpiryMarginMilliseconds <= monotonic ? receiveLeaseExpiry(state) : {state, effects: []};
		}

		case 'members-ended': {
			const {record, phase} = state;
			return {state, effects: phase.kind === 'running' ? [{kind: 'find', record, worker: message.worker}] : []};
		}

		case 'lapsed': {
			return receiveLeaseExpiry(state);
		}
	}
}

function receiveStepTimeout(state: DriverState, {step}: Extract<DriverMessage, {kind: 'step-timed-out'}>, now: Timestamp): DriverStep {
	const {phase} = state;
	if (phase.kind === 'agreeing' && phase.step === step) {
		return failStep(state, phase.step, 'timeout');
	}

	if (phase.kind === 'finding' && step === 'find') {
		return beginStopping(state, 'lost', 'timeout');
	}

	return phase.kind === 'stopping' && step === 'stop' ? concludeStop(state, phase, now) : {state, effects: []};
}

function receiveLeaseExpiry(state: DriverState): DriverStep {
	const {phase} = state;
	switch (phase.kind) {
		case 'agreeing': {
			return failStep(state, phase.step, 'lease-lapsed');
		}

		case 'running': {
			return beginStopping(state, 'lost', 'lease-lapsed');
		}

		case 'writing': {
			return {state: phase.next.state.kind === 'running' ? {...state, lossReason: 'lease-lapsed'} : state, effects: []};
		}

		case 'waiting':
		case 'placing':
		case 'finding':
		case 'stopping':
		case 'done': {
			return {state, effects: []};
		}
	}
}
