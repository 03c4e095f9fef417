import {assertNever, type Incarnation} from '#core';
import {
	createQueueSettings, createSlotQueue, reclassifyOverdue, setLimits,
} from '#limits';
import {shortLimitMilliseconds} from '#routing';
import {acceptRun} from './accept-run.js';
import type {ExecutionStep} from './answers.js';
import {
	executionTickMilliseconds, identifierRetentionMilliseconds, identifierToleranceMilliseconds, maximumRetainedAnswers, maximumRetainedBytes,
} from './constants.js';
import {startDraining} from './drain.js';
import {endTask} from './end-task.js';
import {emptyLedger, findRecord, evictExpired} from './ledger.js';
import {startQueued} from './start-queued.js';
import type {
	ExecutionMessage, ExecutionSettings, ExecutionState, FoundState, LedgerRecord, CurrentTime,
} from './types.js';
import {withdrawRequest} from './withdraw.js';

/** Creates the settings of an agent whose worker has the given number of slots. */
export function createExecutionSettings(incarnation: Incarnation, slots: number): ExecutionSettings {
	return {
		incarnation,
		queue: createQueueSettings(slots),
		retentionMilliseconds: identifierRetentionMilliseconds,
		toleranceMilliseconds: identifierToleranceMilliseconds,
		shortLimitMilliseconds,
		maximumRetainedAnswers,
		maximumRetainedBytes,
	};
}

export function createExecutionState(settings: ExecutionSettings): ExecutionState {
	return {
		settings,
		phase: 'serving',
		ledger: emptyLedger,
		queue: createSlotQueue(settings.queue),
		observations: new Map(),
		totals: {started: 0, failed: 0},
		latestNow: 0,
	};
}

/** Decides which requests an agent starts, queues or refuses. Within one incarnation, a non-idempotent request starts at most once. */
export function receiveExecutionMessage(previous: ExecutionState, message: ExecutionMessage, time: CurrentTime): ExecutionStep {
	const state = time.now > previous.latestNow ? {...previous, latestNow: time.now} : previous;
	switch (message.kind) {
		case 'run': {
			return acceptRun(state, message, time);
		}

		case 'withdraw': {
			return withdrawRequest(state, message, time);
		}

		case 'find': {
			return {state, effects: [{kind: 'answer-find', replyId: message.replyId, found: describeRecord(findRecord(state.ledger, message.requestId))}]};
		}

		case 'task-not-started':
		case 'task-ended':
		case 'task-lost': {
			return endTask(state, message, time);
		}

		case 'slice-received': {
			return startQueued({state: {...state, queue: setLimits(state.queue, message.limits)}, effects: []}, time);
		}

		case 'drain': {
			return startDraining(state, time);
		}

		case 'tick': {
			return tick(state, time);
		}

		default: {
			return assertNever(message);
		}
	}
}

function tick(state: ExecutionState, time: CurrentTime): ExecutionStep {
	const ledger = evictExpired(state.ledger, time.monotonic);
	const queue = reclassifyOverdue(state.queue, state.settings.shortLimitMilliseconds, time.monotonic);
	const step = startQueued({state: {...state, ledger, queue}, effects: []}, time);
	return state.phase === 'drained' ? step : {...step, effects: [...step.effects, {kind: 'schedule-tick', delay: executionTickMilliseconds}]};
}

function describeRecord(record: LedgerRecord | undefined): FoundState {
	switch (record?.kind) {
		case undefined: {
			return {kind: 'never-seen'};
		}

		case 'queued': {
			return {kind: 'queued'};
		}

		case 'running': {
			return {kind: 'running'};
		}

		case 'answered': {
			return {kind: 'answered', answer: record.answer};
		}
	}
}
