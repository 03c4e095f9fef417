import * as valibot from 'valibot';
import type {CurrentTime} from '#kernel';
import {addRecord} from './records.js';
import {respond, type WorkerStep} from './reply.js';
import type {
	StartTask, WorkerMessage, WorkerState, WorkerTask,
} from './types.js';
import {recordUsage} from './usage.js';

const defaultRunMilliseconds = 10;
/** Retention of ended tasks, so that a caller can look up a start whose reply was lost. */
const endedRetentionMilliseconds = 300_000;
/** Expired ended tasks are pruned only above this number of tasks. */
const pruneThreshold = 2000;

const payloadSchema = valibot.fallback(valibot.partial(valibot.looseObject({
	milliseconds: valibot.number(), fail: valibot.boolean(), processors: valibot.number(), memoryMegabytes: valibot.number(),
})), {});
const checkpointSchema = valibot.object({remainingMilliseconds: valibot.number()});

/** Starts a task unless its identifier is known or withdrawn, or its accelerators do not exist or are in use. */
export function startWorkerTask(state: WorkerState, message: Extract<WorkerMessage, {kind: 'start'}>, time: CurrentTime): WorkerStep {
	const {task: start, respond: callback} = message;
	if (state.tasks.has(start.taskId)) {
		const recorded = addRecord(state, {taskId: start.taskId, event: 'duplicate-start', at: time.now});
		return {state: recorded, effects: [respond(callback, 409, {reason: 'task-exists'})]};
	}

	if (state.withdrawn.has(start.taskId)) {
		return {state, effects: [respond(callback, 409, {reason: 'task-withdrawn'})]};
	}

	const missing = start.accelerators.find(accelerator => accelerator < 0 || accelerator >= state.settings.accelerators);
	if (missing !== undefined) {
		return {state, effects: [respond(callback, 422, {reason: 'no-such-accelerator', accelerator: missing})]};
	}

	const isInUse = [...state.tasks.values()].some(task => task.state === 'running' && task.accelerators.some(accelerator => start.accelerators.includes(accelerator)));
	if (isInUse) {
		return {state, effects: [respond(callback, 409, {reason: 'accelerators-in-use'})]};
	}

	const task = createTask(state, start, time);
	const tasks = new Map(pruneEnded(state.tasks, time)).set(task.taskId, task);
	const started = addRecord({...state, tasks}, {
		taskId: task.taskId, event: 'started', at: time.now, accelerators: task.accelerators, hasCheckpoint: valibot.is(checkpointSchema, start.checkpoint),
	});
	return {
		state: recordUsage(started, time.now),
		effects: [
			...(state.switches.loseStartAnswers ? [] : [respond(callback, 201, task)]),
			{kind: 'schedule', delay: task.remainingMilliseconds, message: {kind: 'run-ended', taskId: task.taskId, generation: task.generation}},
			{kind: 'schedule', delay: start.leaseMilliseconds, message: {kind: 'lease-due', taskId: task.taskId}},
		],
	};
}

function createTask({switches}: WorkerState, start: StartTask, {now, monotonic}: CurrentTime): WorkerTask {
	const payload = valibot.parse(payloadSchema, start.payload);
	const checkpoint = valibot.safeParse(checkpointSchema, start.checkpoint);
	const runMilliseconds = checkpoint.success ? checkpoint.output.remainingMilliseconds : (payload.milliseconds ?? defaultRunMilliseconds);
	return {
		taskId: start.taskId,
		kind: start.kind,
		state: 'running',
		accelerators: start.accelerators,
		processors: payload.processors ?? 1,
		memoryMegabytes: payload.memoryMegabytes ?? 0,
		payload: start.payload,
		startedAt: now,
		leaseUntil: monotonic + start.leaseMilliseconds,
		remainingMilliseconds: switches.failAll ? 0 : runMilliseconds * switches.slowFactor,
		progressAt: monotonic,
		share: 1,
		generation: 0,
		endsAs: [switches.failAll, payload.fail].includes(true) ? 'failed' : 'succeeded',
	};
}

function pruneEnded(tasks: ReadonlyMap<string, WorkerTask>, {now}: CurrentTime): ReadonlyMap<string, WorkerTask> {
	return tasks.size <= pruneThreshold
		? tasks
		: new Map([...tasks].filter(([, {endedAt}]) => endedAt === undefined || now - endedAt < endedRetentionMilliseconds));
}
