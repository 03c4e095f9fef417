import {assertNever, type AgentAnswer} from '#core';
import {settleRecord, type ExecutionStep} from './answers.js';
import {reportIfDrained} from './drain.js';
import {findRecord} from './ledger.js';
import {recordServiceTime} from './observations.js';
import {startQueued} from './start-queued.js';
import type {
	ExecutionMessage, ExecutionState, CurrentTime, RunningRecord,
} from './types.js';

type TaskMessage = Extract<ExecutionMessage, {kind: 'task-ended' | 'task-lost' | 'task-not-started'}>;

/** Answers a request whose task has ended and starts the next one in its slot. Messages about requests that are not running are ignored. */
export function endTask(state: ExecutionState, message: TaskMessage, time: CurrentTime): ExecutionStep {
	const record = findRecord(state.ledger, message.requestId);
	if (record?.kind !== 'running') {
		return {state, effects: []};
	}

	const answer = toAnswer(record, message, time);
	const isSucceeded = answer.kind === 'ran' && answer.result.status === 'succeeded';
	const {totals} = state;
	const counted: ExecutionState = {
		...state,
		// Failed runs often end early and would bias the estimate of the kind downwards.
		observations: isSucceeded ? recordServiceTime(state.observations, record.work, answer.result.serviceMilliseconds) : state.observations,
		totals: {...totals, failed: totals.failed + (isSucceeded ? 0 : 1)},
	};
	return reportIfDrained(startQueued(settleRecord({state: counted, effects: []}, record, answer, time), time));
}

function toAnswer({queuedAt, startedAt}: RunningRecord, message: TaskMessage, {monotonic}: CurrentTime): AgentAnswer {
	switch (message.kind) {
		case 'task-ended': {
			return {
				kind: 'ran',
				result: {...message.result, serviceMilliseconds: monotonic - startedAt, queueMilliseconds: startedAt - queuedAt},
			};
		}

		case 'task-lost': {
			return {kind: 'interrupted', reason: message.reason};
		}

		case 'task-not-started': {
			return {kind: 'refused', reason: message.reason};
		}

		default: {
			return assertNever(message);
		}
	}
}
