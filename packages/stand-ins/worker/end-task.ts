import type {CurrentTime} from '#kernel';
import {addRecord} from './records.js';
import {respond, type WorkerStep} from './reply.js';
import type {
	TaskEndState, WorkerMessage, WorkerState, WorkerTask,
} from './types.js';
import {recordUsage} from './usage.js';

/** Ends a task whose run time is over, or defers its end while ends are paused. */
export function finishRun(state: WorkerState, message: Extract<WorkerMessage, {kind: 'run-ended'}>, time: CurrentTime): WorkerStep {
	const {taskId, generation} = message;
	const task = state.tasks.get(taskId);
	if (task?.state !== 'running' || task.generation !== generation) {
		return {state, effects: []};
	}

	return state.switches.pauseEnds
		? {state: {...state, deferredEnds: [...state.deferredEnds, {taskId, generation}]}, effects: []}
		: endTask(state, {...task, body: {echo: task.payload}}, task.endsAs, time);
}

/** Ends a running task, records the usage without it and replies to its waiters. */
export function endTask(state: WorkerState, task: WorkerTask, endState: TaskEndState, {now}: CurrentTime): WorkerStep {
	const ended: WorkerTask = {...task, state: endState, endedAt: now};
	const next = addRecord({
		...state,
		tasks: new Map(state.tasks).set(task.taskId, ended),
		waiting: state.waiting.filter(({taskId}) => taskId !== task.taskId),
	}, {
		taskId: task.taskId, event: 'ended', at: now, state: endState, hasCheckpoint: task.checkpoint !== undefined,
	});
	const waiters = state.switches.hang ? [] : state.waiting.filter(({taskId}) => taskId === task.taskId);
	return {state: recordUsage(next, now), effects: waiters.map(waiter => respond(waiter.respond, 200, ended))};
}
