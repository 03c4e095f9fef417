import {assertNever} from '#core';
import type {CurrentTime} from '#kernel';
import {checkpointTask, stopTask, throttleTask} from './control.js';
import {finishRun} from './end-task.js';
import {checkLease, renewTasks} from './leases.js';
import {listRecords} from './records.js';
import {respond, type WorkerStep} from './reply.js';
import {startWorkerTask} from './start-task.js';
import {changeSwitches, initialSwitches} from './switches.js';
import type {
	WorkerMessage, WorkerSettings, WorkerState,
} from './types.js';
import {readUsage, sumUsage} from './usage.js';
import {respondToWaiter, waitForTask} from './wait-for-task.js';

export function createWorkerState(settings: WorkerSettings): WorkerState {
	return {
		settings, switches: initialSwitches, tasks: new Map(), withdrawn: new Set(), waiting: [], nextWaiterId: 1, deferredEnds: [], records: undefined, usage: [],
	};
}

/** State transitions of the stand-in worker. A hanging worker ignores every call except a change of its switches. */
export function receiveWorkerMessage(state: WorkerState, message: WorkerMessage, time: CurrentTime): WorkerStep {
	if (state.switches.hang && 'respond' in message && message.kind !== 'switch') {
		return {state, effects: []};
	}

	return handleMessage(state, message, time);
}

function handleMessage(state: WorkerState, message: WorkerMessage, time: CurrentTime): WorkerStep {
	switch (message.kind) {
		case 'start': {
			return startWorkerTask(state, message, time);
		}

		case 'renew': {
			return renewTasks(state, message, time);
		}

		case 'checkpoint': {
			return checkpointTask(state, message, time);
		}

		case 'throttle': {
			return throttleTask(state, message, time);
		}

		case 'stop': {
			return stopTask(state, message, time);
		}

		case 'wait': {
			return waitForTask(state, message, time);
		}

		case 'wait-ended': {
			return respondToWaiter(state, message.waiterId);
		}

		case 'run-ended': {
			return finishRun(state, message, time);
		}

		case 'lease-due': {
			return checkLease(state, message.taskId, time);
		}

		case 'list': {
			return {state, effects: [respond(message.respond, 200, {tasks: [...state.tasks.values()]})]};
		}

		case 'list-records': {
			return {state, effects: [respond(message.respond, 200, {records: listRecords(state.records)})]};
		}

		case 'describe': {
			return {state, effects: [respond(message.respond, 200, {...state.settings, inUse: sumUsage(state.tasks, time.now)})]};
		}

		case 'show-usage': {
			return {state, effects: [respond(message.respond, 200, readUsage(state, time.now))]};
		}

		case 'switch': {
			return changeSwitches(state, message);
		}

		default: {
			return assertNever(message);
		}
	}
}
