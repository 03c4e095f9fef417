/**
Holds the tasks of a job only while they are due and not done.

A job may have a thousand occurrences over days, and accepted jobs stay for as long. Tasks that are held are bounded over all jobs, so that whatever the store lists, the scheduler can load it.
*/
import {Map as PersistentMap, Set as PersistentSet} from 'immutable';
import type {CurrentTime, MonotonicTime, Timestamp} from '#core';
import {
	countTasksOfOccurrence, estimateRecordBytes, estimateTaskBytes, formatLocalTaskName, parseTaskName, type JobKey, type JobProgress, type JobSubmission, type TaskName, type TaskProgress,
} from '#jobs';
import {
	earlyStartMilliseconds, maximumOpenedPerPass, maximumOpenTasks, runsPerEpoch, waitingLogMilliseconds,
} from './constants.js';
import {joinCheckpoints, listTaskNames, restoreOccurrences} from './progress.js';
import type {Rank} from './rank.js';
import type {SchedulerTransition} from './runs.js';
import {
	findJob, hasStarted, isOpen, replaceJob,
} from './state.js';
import type {
	SchedulerJob, SchedulerState, StoredTasks, TaskCounts, TaskState,
} from './types.js';

/** Creates the state of a job from its stored progress. None of its occurrences is open. */
export function createJob(
	submission: JobSubmission,
	stored: Readonly<{progress: JobProgress | undefined; keyVersion: number}>,
	context: Readonly<{monotonic: MonotonicTime; isInherited: boolean}>,
): SchedulerJob {
	const {progress} = stored;
	const occurrences = restoreOccurrences(submission, progress);
	const storedTasks = [...occurrences.unopened.values()].flatMap(tasks => Object.values(tasks));
	const isStored = progress !== undefined;
	return {
		submission,
		memory: {recordBytes: estimateRecordBytes(submission.request), taskBytes: estimateTaskBytes(submission.request)},
		tasks: PersistentMap(),
		taskNames: PersistentMap(),
		occurrences,
		counts: {waiting: 0, running: 0, unfinished: 0},
		hasStarted: occurrences.next > occurrences.unopened.size || storedTasks.some(({isDone = false, failedRuns = [], checkpoint = '', crashes = []}) => hasStarted({
			isDone, failedRuns, checkpoint, crashes,
		})),
		hasFailures: storedTasks.some(({failedRuns = []}) => failedRuns.length > 0),
		hasCrashes: storedTasks.some(({crashes = []}) => crashes.length > 0),
		outcome: progress?.outcome ?? 'queued',
		version: isStored ? 1 : 0,
		storedVersion: isStored ? 1 : 0,
		keyVersion: stored.keyVersion,
		waitLoggedAt: context.monotonic,
		slowdown: undefined,
		storedCheckpoints: {joined: '', at: context.monotonic},
		changedAt: context.monotonic,
		agents: isStored ? progress.agents && PersistentSet(progress.agents) : PersistentSet(),
		agentsVersion: 0,
		claim: undefined,
		preemptionFailedAt: -Infinity,
		isInherited: context.isInherited,
		endedAt: progress?.endedAt,
		endedAtMonotonic: progress?.endedAt === undefined ? undefined : context.monotonic,
	};
}

/** Whether all tasks of all occurrences are done. */
export function isComplete({counts, occurrences: {next, total, unopened}}: SchedulerJob): boolean {
	return counts.unfinished === 0 && next === total && unopened.size === 0;
}

/** Number of occurrences that are due. */
export function countDueOccurrences({submission: {request: {schedule}}}: SchedulerJob, now: Timestamp): number {
	if (schedule === undefined) {
		return 1;
	}

	const elapsed = now + earlyStartMilliseconds - schedule.firstRunAt;
	return elapsed < 0 ? 0 : Math.min(schedule.occurrences, Math.floor(elapsed / Math.max(1, schedule.intervalMilliseconds)) + 1);
}

/** Lists the open occurrences that are due, in their order. */
export function listDueOccurrences(job: SchedulerJob, now: Timestamp): readonly number[] {
	const due = countDueOccurrences(job, now);
	return [...job.taskNames.keys()].filter(occurrence => occurrence < due).toSorted((first, second) => first - second);
}

/** Opens the occurrence of a task that a worker reports, however many are open: its predecessor has started it under the same bound. */
export function openForReport(state: SchedulerState, name: TaskName): SchedulerState {
	const job = findJob(state, name);
	if (job === undefined || !isOpen(job) || job.tasks.has(name)) {
		return state;
	}

	const {occurrence} = parseTaskName(name);
	const hasBegun = occurrence < job.occurrences.next;
	return (hasBegun ? job.occurrences.unopened.has(occurrence) : occurrence < job.occurrences.total) ? replaceJob(state, openOccurrence(job, occurrence, state.epoch)) : state;
}

/** Opens an occurrence. Those before it that have not begun are opened later. */
function openOccurrence(job: SchedulerJob, occurrence: number, epoch: number): SchedulerJob {
	const {submission, occurrences: {total, next, unopened}} = job;
	const names = listTaskNames(submission, occurrence);
	const stored = unopened.get(occurrence) ?? {};
	const opened = names.flatMap((namesOfStep, stepIndex) => namesOfStep.map((name): [TaskName, TaskState] => [
		name, createTask({occurrence, stepIndex}, stored[formatLocalTaskName(name)], epoch),
	]));
	const tasks = job.tasks.merge(opened);
	const waiting = opened.filter(([, {isDone}]) => !isDone).length;
	const skipped = Array.from({length: Math.max(0, occurrence - next)}, (_, index): [number, StoredTasks] => [next + index, {}]);
	return {
		...job,
		tasks,
		taskNames: job.taskNames.set(occurrence, names),
		occurrences: {total, next: Math.max(next, occurrence + 1), unopened: unopened.delete(occurrence).merge(skipped)},
		counts: addCounts(job.counts, {waiting, running: 0, unfinished: waiting}),
		hasStarted: job.hasStarted || opened.some(([, task]) => hasStarted(task)),
		// Checkpoints that were restored need not be stored again.
		storedCheckpoints: Object.values(stored).some(({checkpoint}) => checkpoint !== undefined) ? {...job.storedCheckpoints, joined: joinCheckpoints(tasks)} : job.storedCheckpoints,
	};
}

function createTask(place: Pick<TaskState, 'occurrence' | 'stepIndex'>, progress: TaskProgress | undefined, epoch: number): TaskState {
	return {
		...place,
		isDone: progress?.isDone ?? false,
		failedRuns: progress?.failedRuns ?? [],
		lastRun: Math.max((epoch - 1) * runsPerEpoch, ...(progress?.failedRuns ?? [])),
		checkpoint: progress?.checkpoint ?? '',
		checkpointRun: 0,
		checkpointPercent: progress?.checkpointPercent ?? 0,
		lastPercent: 0,
		run: undefined,
		avoided: [],
		crashes: progress?.crashes ?? [],
		preemptions: 0,
	};
}

function addCounts(first: TaskCounts, second: TaskCounts): TaskCounts {
	return {waiting: first.waiting + second.waiting, running: first.running + second.running, unfinished: first.unfinished + second.unfinished};
}

/** An occurrence that is due and not open. */
type Candidate = Readonly<{job: JobKey; occurrence: number; taskCount: number; rank: Rank; dueAt: Timestamp}>;

/** Opens the occurrences that are due, by rank and due time, as long as the tasks that are held stay within their bound. Another pass is due if there are more than one pass opens. */
export function openDueOccurrences(state: SchedulerState, ranks: ReadonlyMap<JobKey, Rank>, {now, monotonic}: CurrentTime): SchedulerTransition {
	let room = maximumOpenTasks - countOpenTasks(state);
	const candidates = [...state.jobs.values()].flatMap(job => listCandidates(job, {rank: ranks.get(job.submission.job) ?? 0, room, now}));
	if (candidates.length === 0) {
		return {state, effects: []};
	}

	let next = state;
	let opened = 0;
	const waiting: Candidate[] = [];
	for (const candidate of candidates.toSorted((first, second) => first.rank - second.rank || first.dueAt - second.dueAt)) {
		const job = next.jobs.get(candidate.job);
		if (job === undefined || candidate.taskCount > room) {
			waiting.push(candidate);
			continue;
		}

		if (opened > 0 && opened + candidate.taskCount > maximumOpenedPerPass) {
			return {state: {...next, isScheduleDue: true}, effects: []};
		}

		opened += candidate.taskCount;
		room -= candidate.taskCount;
		next = replaceJob(next, openOccurrence(job, candidate.occurrence, state.epoch));
	}

	if (waiting.length === 0 || monotonic - next.unopenedLoggedAt < waitingLogMilliseconds) {
		return {state: next, effects: []};
	}

	const jobs = [...new Set(waiting.map(({job}) => job))];
	return {
		state: {...next, unopenedLoggedAt: monotonic},
		effects: [{kind: 'log', event: 'jobs-wait-for-memory', fields: {openTasks: maximumOpenTasks - room, jobs: jobs.length, oldest: jobs.slice(0, maximumListedJobs)}}],
	};
}

/** Jobs that one log line names. */
const maximumListedJobs = 10;

/** Lists the occurrences of a job that may be opened, no more than there is room for and one. */
function listCandidates(job: SchedulerJob, {rank, room, now}: Readonly<{rank: Rank; room: number; now: Timestamp}>): readonly Candidate[] {
	if (!isOpen(job)) {
		return [];
	}

	const {submission: {job: key, submittedAt, request}, occurrences: {next, unopened}} = job;
	const taskCount = countTasksOfOccurrence(request);
	const limit = Math.max(0, Math.floor(room / taskCount)) + 1;
	const due = countDueOccurrences(job, now);
	const begun = unopened.size === 0 ? [] : [...unopened.keys()].toSorted((first, second) => first - second);
	const fresh = Array.from({length: Math.max(0, Math.min(due - next, limit))}, (_, index) => next + index);
	return [...begun, ...fresh].slice(0, limit).map(occurrence => ({
		job: key, occurrence, taskCount, rank, dueAt: request.schedule === undefined ? submittedAt : request.schedule.firstRunAt + (occurrence * request.schedule.intervalMilliseconds),
	}));
}

/** Number of tasks that are held over all jobs. */
export function countOpenTasks({jobs}: SchedulerState): number {
	let total = 0;
	for (const {tasks} of jobs.values()) {
		total += tasks.size;
	}

	return total;
}

/** Drops the tasks of occurrences that are done, and of jobs whose end is stored. */
export function closeOccurrences(state: SchedulerState): SchedulerState {
	let next = state;
	for (const job of state.jobs.values()) {
		if (job.tasks.size === 0) {
			continue;
		}

		if (job.endedAt !== undefined) {
			next = job.storedVersion >= job.version && job.counts.running === 0 ? replaceJob(next, closeEnded(job)) : next;
		} else if (job.occurrences.total > 1 && job.tasks.size - job.counts.unfinished >= countTasksOfOccurrence(job.submission.request)) {
			next = replaceJob(next, closeDone(job));
		}
	}

	return next;
}

function closeEnded(job: SchedulerJob): SchedulerJob {
	return {
		...job, tasks: PersistentMap(), taskNames: PersistentMap(), counts: {waiting: 0, running: 0, unfinished: 0},
	};
}

function closeDone(job: SchedulerJob): SchedulerJob {
	const isClosable = (name: TaskName) => {
		const task = job.tasks.get(name);
		return task !== undefined && task.isDone && task.run === undefined;
	};

	const closable = [...job.taskNames].filter(([, names]) => names.every(namesOfStep => namesOfStep.every(name => isClosable(name))));
	if (closable.length === 0) {
		return job;
	}

	return {
		...job,
		tasks: job.tasks.deleteAll(closable.flatMap(([, names]) => names.flat())),
		taskNames: job.taskNames.deleteAll(closable.map(([occurrence]) => occurrence)),
	};
}
