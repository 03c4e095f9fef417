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

/** Drives one job: places its gang, starts it as a whole, and concludes it. */
export function receiveDriverMessage(state: DriverState, message: DriverMessage, present: CurrentTime): DriverStep {
	switch (message.kind) {
		case 'opened': {
			return continueJob(state, present.now);
		}

		case 'placement-due':
		case 'placed': {
			return receivePlacementMessage(state, message, present.now);
		}

		case 'stored':
		case 'write-due': {
			return receiveStoreMessage(state, message, present.now);
		}

		case 'answered':
		case 'resend':
		case 'found':
		case 'find-again':
		case 'stop-answered':
		case 'stop-again':
		case 'step-expired': {
			return receiveStepMessage(state, message, present);
		}

		case 'ended':
		case 'renewed':
		case 'renewal-failed':
		case 'members-ended':
		case 'lapsed': {
			return receiveGangMessage(state, message, present);
		}

		case 'cancel': {
			return requestCancel(state, present.now);
		}

		case 'release': {
			return releaseJob(state);
		}

		default: {
			return assertNever(message);
		}
	}
}

type StepMessage = Extract<DriverMessage, {kind: 'answered' | 'resend' | 'found' | 'find-again' | 'stop-answered' | 'stop-again' | 'step-expired'}>;

/** Messages about a step that is under way; those that come after it are ignored. */
function receiveStepMessage(state: DriverState, message: StepMessage, present: CurrentTime): DriverStep {
	const {phase} = state;
	switch (message.kind) {
		case 'answered': {
			return phase.kind === 'agreeing' ? receiveStepAnswer(state, phase, message, present) : {state, effects: []};
		}

		case 'resend': {
			return phase.kind === 'agreeing' ? resendStep(state, phase, message) : {state, effects: []};
		}

		case 'found': {
			return receiveFoundMessage(state, message, present.now);
		}

		case 'find-again': {
			const isDue = message.attempt === state.record.attempt && (phase.kind === 'finding' || phase.kind === 'stopping');
			return {state, effects: isDue ? [{kind: 'find', record: state.record, worker: message.worker}] : []};
		}

		case 'stop-answered': {
			return phase.kind === 'stopping' ? receiveStopAnswer(state, phase, message, present.now) : {state, effects: []};
		}

		case 'stop-again': {
			return phase.kind === 'stopping' ? resendStop(state, phase, message) : {state, effects: []};
		}

		case 'step-expired': {
			return message.attempt === state.record.attempt ? receiveStepTimeout(state, message, present.now) : {state, effects: []};
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

/** Messages about the gang that the job holds at present. */
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

function receiveStepTimeout(state: DriverState, {step}: Extract<DriverMessage, {kind: 'step-expired'}>, now: Timestamp): DriverStep {
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
