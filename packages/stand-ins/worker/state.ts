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
export function receiveWorkerMessage(state: WorkerState, message: WorkerMessage, present: CurrentTime): WorkerStep {
	if (state.switches.hang && 'respond' in message && message.kind !== 'switch') {
		return {state, effects: []};
	}

	return handleMessage(state, message, present);
}

function handleMessage(state: WorkerState, message: WorkerMessage, present: CurrentTime): WorkerStep {
	switch (message.kind) {
		case 'start': {
			return startWorkerTask(state, message, present);
		}

		case 'renew': {
			return renewTasks(state, message, present);
		}

		case 'checkpoint': {
			return checkpointTask(state, message, present);
		}

		case 'throttle': {
			return throttleTask(state, message, present);
		}

		case 'stop': {
			return stopTask(state, message, present);
		}

		case 'wait': {
			return waitForTask(state, message, present);
		}

		case 'wait-ended': {
			return respondToWaiter(state, message.waiterId);
		}

		case 'run-ended': {
			return finishRun(state, message, present);
		}

		case 'lease-due': {
			return checkLease(state, message.taskId, present);
		}

		case 'list': {
			return {state, effects: [respond(message.respond, 200, {tasks: [...state.tasks.values()]})]};
		}

		case 'list-records': {
			return {state, effects: [respond(message.respond, 200, {records: listRecords(state.records)})]};
		}

		case 'describe': {
			return {state, effects: [respond(message.respond, 200, {...state.settings, inUse: sumUsage(state.tasks, present.now)})]};
		}

		case 'show-usage': {
			return {state, effects: [respond(message.respond, 200, readUsage(state, present.now))]};
		}

		case 'switch': {
			return changeSwitches(state, message);
		}

		default: {
			return assertNever(message);
		}
	}
}
