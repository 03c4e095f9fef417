/**
Counts the workers that crashed under a task, and keeps a task apart that may have caused a crash.

A task that crashes its workers would take one after the other out of service, and with them the runs of others.
*/
import type {MonotonicTime} from '#core';
import type {TaskCrash, TaskName} from '#jobs';
import {
	isolationMilliseconds, maximumCrashes, maximumCrashesAtStart, soundRunMilliseconds,
} from './constants.js';
import {
	findJob, findTask, isOpen, replaceJob, withTask,
} from './state.js';
import type {
	SchedulerJob, SchedulerState, TaskRun, TaskState,
} from './types.js';

/**
Where a unit's tasks may start.

- `none`: on any worker.
- `idle-worker`: apart from all other work, since a worker crashed at an earlier start of these tasks.
- `one-worker`: on one worker at a time, with other work, since no worker was idle for long.
*/
export type Isolation = 'none' | 'idle-worker' | 'one-worker';

/** Whether a worker crashed at a start of the task, before it made progress. */
export function isSuspect({crashes}: TaskState): boolean {
	return crashes.some(({hadProgress}) => !hadProgress);
}

/** Whether the task's run may still crash its worker as an earlier one did. */
export function isOnProbation(task: TaskState): boolean {
	return task.run?.percent === 0 && isSuspect(task);
}

/** Whether the task is not to be started again. Crashes after some progress have other causes more often. */
export function hasExhaustedCrashes({crashes}: TaskState): boolean {
	return crashes.length >= maximumCrashes || crashes.filter(({hadProgress}) => !hadProgress).length >= maximumCrashesAtStart;
}

/** Records that the worker of a run crashed. A run whose stop was confirmed had ended before; a start without an answer may not have been carried out, and its agent reports whether it probably was. */
export function recordCrash(state: SchedulerState, name: TaskName, {run, percent, startedAt, isStartConfirmed, isStopConfirmed}: TaskRun, monotonic: MonotonicTime): SchedulerState {
	const hadProgress = percent > 0;
	if (isStopConfirmed || !isStartConfirmed) {
		return state;
	}

	return hadProgress && monotonic - startedAt >= soundRunMilliseconds ? forgetCrashes(state, name) : addCrash(state, name, {run, hadProgress});
}

/** Adds a crash to those of a task; each run counts once, however often it is reported. */
export function addCrash(state: SchedulerState, name: TaskName, crash: TaskCrash): SchedulerState {
	const job = findJob(state, name);
	const task = findTask(state, name);
	if (job === undefined || task === undefined || !isOpen(job) || task.isDone || task.crashes.some(({run}) => run === crash.run)) {
		return state;
	}

	const next = withTask(state, name, {...task, crashes: [...task.crashes, crash]});
	const updated = findJob(next, name);
	return updated === undefined ? next : replaceJob(next, {...updated, hasCrashes: true});
}

/** A task that ran for long is sound, and so may outlive any number of workers. */
function forgetCrashes(state: SchedulerState, name: TaskName): SchedulerState {
	const task = findTask(state, name);
	return task === undefined || task.crashes.length === 0 ? state : withTask(state, name, {...task, crashes: []});
}

/** Selects the tasks of a step that may start now, out of those that wait: first those that may have caused a crash, and nothing else while one of them is on probation. */
export function selectStartable(job: SchedulerJob, names: readonly TaskName[], waiting: readonly TaskName[], isGang: boolean): readonly TaskName[] {
	if (!job.hasCrashes || isGang) {
		return waiting;
	}

	const findTasks = (candidates: readonly TaskName[], condition: (task: TaskState) => boolean) => candidates.filter(name => {
		const task = job.tasks.get(name);
		return task !== undefined && condition(task);
	});
	if (findTasks(names, isOnProbation).length > 0) {
		return [];
	}

	const suspects = findTasks(waiting, isSuspect);
	return suspects.length > 0 ? suspects : waiting;
}

/** Decides where tasks may start that have waited since the given time. */
export function chooseIsolation(job: SchedulerJob, tasks: readonly TaskName[], waitingSince: MonotonicTime, monotonic: MonotonicTime): Isolation {
	const isIsolated = job.hasCrashes && tasks.some(name => {
		const task = job.tasks.get(name);
		return task !== undefined && isSuspect(task);
	});
	if (!isIsolated) {
		return 'none';
	}

	return monotonic - waitingSince < isolationMilliseconds ? 'idle-worker' : 'one-worker';
}
