import type {MonotonicTime} from '#core';
import {
	formatTaskName, isSameIncarnation, listStepTasks, formatLocalTaskName, parseTaskName, type JobProgress, type JobStep, type JobSubmission, type Queue, type Resources,
	type TaskName, type TaskProgress,
} from '#jobs';
import {runsPerEpoch} from './constants.js';
import type {
	SchedulerJob, SchedulerState, SchedulerWorker, TaskRun, TaskState,
} from './types.js';

export function createSchedulerState(epoch: number): SchedulerState {
	return {
		epoch, configuration: undefined, jobs: new Map(), workers: new Map(), unread: new Map(), isLoaded: false, isScheduleDue: false,
	};
}

/** Replaces a job without requesting a scheduling pass. */
export function replaceJob(state: SchedulerState, job: SchedulerJob): SchedulerState {
	return {...state, jobs: new Map(state.jobs).set(job.submission.job, job)};
}

/** Replaces a worker without requesting a scheduling pass. */
export function replaceWorker(state: SchedulerState, worker: SchedulerWorker): SchedulerState {
	return {...state, workers: new Map(state.workers).set(worker.agent, worker)};
}

/** Replaces a job and requests a scheduling pass. */
export function withJob(state: SchedulerState, job: SchedulerJob): SchedulerState {
	return {...replaceJob(state, job), isScheduleDue: true};
}

/** Replaces a worker and requests a scheduling pass. */
export function withWorker(state: SchedulerState, worker: SchedulerWorker): SchedulerState {
	return {...replaceWorker(state, worker), isScheduleDue: true};
}

export function withTask(job: SchedulerJob, name: TaskName, task: TaskState): SchedulerJob {
	return {...job, tasks: new Map(job.tasks).set(name, task)};
}

export function findJob(state: SchedulerState, task: TaskName): SchedulerJob | undefined {
	return state.jobs.get(parseTaskName(task).job);
}

/** The current queue of a job, or the queue as of its acceptance if that was removed since. */
export function resolveQueue({configuration}: SchedulerState, {submission: {queue}}: SchedulerJob): Queue {
	return configuration?.queues.find(({name}) => name === queue.name) ?? queue;
}

export function findStep({submission}: SchedulerJob, task: TaskName): JobStep | undefined {
	return submission.request.steps[parseTaskName(task).step];
}

/** Resources that a task uses on its worker. Filling tasks use only processor time that others leave unused. */
export function resourcesOf({processorMillicores, memoryMegabytes, accelerators, isFilling}: JobStep): Resources {
	return {processorMillicores: isFilling ? 0 : processorMillicores, memoryMegabytes, accelerators};
}

/** Lists all tasks of the step and occurrence that the task belongs to, itself included. */
export function listStepMembers(job: SchedulerJob, task: TaskName): readonly TaskName[] {
	const {occurrence, step} = parseTaskName(task);
	const definition = job.submission.request.steps[step];
	return definition === undefined ? [] : listStepTasks(job.submission.job, occurrence, step, definition);
}

export function findWorkerOfRun({workers}: SchedulerState, {incarnation}: TaskRun): SchedulerWorker | undefined {
	for (const worker of workers.values()) {
		if (isSameIncarnation(worker.snapshot, incarnation)) {
			return worker;
		}
	}

	return undefined;
}

export function isOpen({outcome}: SchedulerJob): boolean {
	return outcome === 'queued' || outcome === 'running';
}

/** Counts the failed runs of a task, or of its whole gang; members of a gang share run numbers. */
export function countFailures(job: SchedulerJob, task: TaskName): number {
	const step = findStep(job, task);
	const names = step?.isGang === true ? listStepMembers(job, task) : [task];
	return new Set(names.flatMap(name => job.tasks.get(name)?.failedRuns ?? [])).size;
}

/** Creates the state of a job from its stored progress. */
export function createJob(
	submission: JobSubmission,
	stored: Readonly<{progress: JobProgress | undefined; keyVersion: number}>,
	context: Readonly<{epoch: number; monotonic: MonotonicTime; isInherited: boolean}>,
): SchedulerJob {
	const {job, request: {steps, schedule}} = submission;
	const tasks = new Map<TaskName, TaskState>();
	for (let occurrence = 0; occurrence < (schedule?.occurrences ?? 1); occurrence++) {
		for (const [step, {count}] of steps.entries()) {
			for (let index = 0; index < count; index++) {
				const name = formatTaskName({
					job, occurrence, step, index,
				});
				tasks.set(name, createTask(stored.progress?.tasks[formatLocalTaskName(name)], context.epoch));
			}
		}
	}

	return {
		submission,
		tasks,
		outcome: stored.progress?.outcome ?? 'queued',
		version: stored.progress === undefined ? 0 : 1,
		storedVersion: stored.progress === undefined ? 0 : 1,
		keyVersion: stored.keyVersion,
		waitLoggedAt: context.monotonic,
		slowdown: undefined,
		storedCheckpoints: {joined: joinCheckpoints(tasks), at: context.monotonic},
		changedAt: context.monotonic,
		isInherited: context.isInherited,
		endedAt: stored.progress?.endedAt,
		endedAtMonotonic: stored.progress?.endedAt === undefined ? undefined : context.monotonic,
	};
}

/** Joins the checkpoints of unfinished tasks, for comparison with those stored last. */
export function joinCheckpoints(tasks: SchedulerJob['tasks']): string {
	return [...tasks.values()].map(({isDone, checkpoint}) => isDone ? '' : checkpoint).join(' ');
}

function createTask(progress: TaskProgress | undefined, epoch: number): TaskState {
	return {
		isDone: progress?.isDone ?? false,
		failedRuns: progress?.failedRuns ?? [],
		lastRun: Math.max((epoch - 1) * runsPerEpoch, ...(progress?.failedRuns ?? [])),
		checkpoint: progress?.checkpoint ?? '',
		checkpointPercent: 0,
		run: undefined,
		avoided: [],
		preemptions: 0,
	};
}

/** Progress of a job as it is stored; tasks without progress are left out. */
export function describeProgress({outcome, tasks, endedAt}: SchedulerJob): JobProgress {
	const stored: Record<string, TaskProgress> = {};
	for (const [name, {isDone, failedRuns, checkpoint}] of tasks) {
		if (isDone) {
			stored[formatLocalTaskName(name)] = {isDone: true};
		} else if (failedRuns.length > 0 || checkpoint !== '') {
			stored[formatLocalTaskName(name)] = {
				...(failedRuns.length === 0 ? {} : {failedRuns}), ...(checkpoint === '' ? {} : {checkpoint}),
			};
		}
	}

	return {outcome: outcome === 'queued' ? 'running' : outcome, tasks: stored, ...(endedAt === undefined ? {} : {endedAt})};
}

/** Whether a run is on the current incarnation of a worker. */
export function isRunOn(run: TaskRun | undefined, {snapshot}: SchedulerWorker): run is TaskRun {
	return run !== undefined && isSameIncarnation(run.incarnation, snapshot);
}

/** Lists open jobs, oldest first. */
export function listOpenJobs({jobs}: SchedulerState): readonly SchedulerJob[] {
	return [...jobs.values()].filter(job => isOpen(job)).toSorted((first, second) => first.submission.submittedAt - second.submission.submittedAt);
}

/** Counts the jobs without a started task, by queue. */
export function countPending(state: SchedulerState): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (const job of state.jobs.values()) {
		const hasStarted = !isOpen(job) || [...job.tasks.values()].some(({isDone, run, lastRun}) => isDone || run !== undefined || lastRun % runsPerEpoch > 0);
		if (!hasStarted) {
			counts.set(job.submission.queue.name, (counts.get(job.submission.queue.name) ?? 0) + 1);
		}
	}

	return counts;
}

