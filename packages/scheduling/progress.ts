/** Converts between a job's tasks and its stored progress. */
import {Map as PersistentMap} from 'immutable';
import {
	countAllTasks, formatLocalTaskName, formatRanges, formatTaskName, listStepTasks, parseRanges, type JobProgress, type JobSubmission, type TaskName, type TaskProgress,
} from '#jobs';
import {maximumListedTasks} from './constants.js';
import type {
	Occurrences, SchedulerJob, StoredTasks, TaskState,
} from './types.js';

/** Progress of a job as it is stored; tasks without progress are left out, and all tasks once the job has ended. */
export function describeProgress(job: SchedulerJob): JobProgress {
	const {outcome, endedAt, agents} = job;
	const isEnded = endedAt !== undefined;
	return {
		outcome: outcome === 'queued' ? 'running' : outcome,
		...(isEnded ? {tasks: {}} : describeTasks(job)),
		...(isEnded ? {endedAt} : {}),
		// The runs of an ended job are only stopped, so that nobody has to look for them before a start.
		...(agents === undefined || isEnded ? {} : {agents: [...agents]}),
	};
}

/** Lists each task of a small job, as earlier versions do, which may schedule next; the record of a large one would exceed what the store takes. */
function describeTasks(job: SchedulerJob): Pick<JobProgress, 'tasks' | 'done' | 'occurrences'> {
	const {submission: {request}, tasks, taskNames, occurrences} = job;
	const unopened = Object.assign({}, ...occurrences.unopened.values()) as StoredTasks;
	const stored: Record<string, TaskProgress> = {};
	const doneNames: TaskName[] = [];
	for (const [name, {isDone, failedRuns, checkpoint, checkpointPercent, crashes}] of tasks) {
		if (isDone) {
			doneNames.push(name);
		} else if (failedRuns.length > 0 || checkpoint !== '' || crashes.length > 0) {
			stored[formatLocalTaskName(name)] = {
				...(failedRuns.length === 0 ? {} : {failedRuns}),
				...(checkpoint === '' ? {} : {checkpoint, checkpointPercent}),
				...(crashes.length === 0 ? {} : {crashes}),
			};
		}
	}

	if (countAllTasks(request) <= maximumListedTasks) {
		const done = [...listDoneOccurrences(job).flatMap(occurrence => listTaskNames(job.submission, occurrence).flat()), ...doneNames];
		return {tasks: {...unopened, ...stored, ...Object.fromEntries(done.map(name => [formatLocalTaskName(name), {isDone: true}]))}};
	}

	return {
		tasks: {...Object.fromEntries(Object.entries(unopened).filter(([, {isDone}]) => isDone !== true)), ...stored},
		done: describeDone(job),
		occurrences: {next: occurrences.next, open: [...taskNames.keys(), ...occurrences.unopened.keys()].toSorted((first, second) => first - second)},
	};
}

/** Lists the occurrences of which all tasks are done and no longer held. */
function listDoneOccurrences({occurrences: {next, unopened}, taskNames}: SchedulerJob): readonly number[] {
	return Array.from({length: next}, (_, occurrence) => occurrence).filter(occurrence => !taskNames.has(occurrence) && !unopened.has(occurrence));
}

function describeDone({submission, tasks, taskNames, occurrences: {unopened}}: SchedulerJob): Readonly<Record<string, string>> {
	const describe = (occurrence: number, names: ReadonlyArray<readonly TaskName[]>, isDone: (name: TaskName) => boolean) => names.flatMap((namesOfStep, step): ReadonlyArray<readonly [string, string]> => {
		const indexes = namesOfStep.flatMap((name, index) => isDone(name) ? [index] : []);
		return indexes.length === 0 ? [] : [[`${occurrence}.${step}`, formatRanges(indexes)]];
	});
	return Object.fromEntries([
		...[...taskNames].flatMap(([occurrence, names]) => describe(occurrence, names, name => tasks.get(name)?.isDone === true)),
		...[...unopened].flatMap(([occurrence, stored]) => describe(occurrence, listTaskNames(submission, occurrence), name => stored[formatLocalTaskName(name)]?.isDone === true)),
	]);
}

/** Names of the tasks of an occurrence, by step. */
export function listTaskNames({job, request: {steps}}: JobSubmission, occurrence: number): ReadonlyArray<readonly TaskName[]> {
	return steps.map((step, index) => listStepTasks(job, occurrence, index, step));
}

/** Reads which occurrences have begun, and the progress of those that are not done. */
export function restoreOccurrences(submission: JobSubmission, progress: JobProgress | undefined): Occurrences {
	const total = submission.request.schedule?.occurrences ?? 1;
	if (progress === undefined) {
		return {total, next: 0, unopened: PersistentMap()};
	}

	if (progress.outcome !== 'running') {
		return {total, next: total, unopened: PersistentMap()};
	}

	const tasksByOccurrence = groupTasks(submission, progress);
	if (progress.occurrences !== undefined) {
		const {next, open} = progress.occurrences;
		return {total, next: Math.min(next, total), unopened: PersistentMap(open.map(occurrence => [occurrence, tasksByOccurrence.get(occurrence) ?? {}]))};
	}

	// The record shows only occurrences with progress; the first one has begun with the job.
	const next = Math.min(total, Math.max(0, ...tasksByOccurrence.keys()) + 1);
	const begun = Array.from({length: next}, (_, occurrence): [number, StoredTasks] => [occurrence, tasksByOccurrence.get(occurrence) ?? {}]);
	return {total, next, unopened: PersistentMap(begun.filter(([occurrence, tasks]) => !areAllDone(submission, occurrence, tasks)))};
}

function areAllDone(submission: JobSubmission, occurrence: number, tasks: StoredTasks): boolean {
	return listTaskNames(submission, occurrence).flat().every(name => tasks[formatLocalTaskName(name)]?.isDone === true);
}

function groupTasks({job, request: {steps}}: JobSubmission, {tasks, done = {}}: JobProgress): ReadonlyMap<number, StoredTasks> {
	const groups = new Map<number, Record<string, TaskProgress>>();
	const add = (occurrence: number, local: string, progress: TaskProgress) => {
		const group = groups.get(occurrence) ?? {};
		group[local] = progress;
		groups.set(occurrence, group);
	};

	for (const [local, progress] of Object.entries(tasks)) {
		add(Number(local.split('.')[0]), local, progress);
	}

	for (const [key, ranges] of Object.entries(done)) {
		const [occurrence = 0, step = 0] = key.split('.').map(Number);
		for (const index of parseRanges(ranges, steps[step]?.count ?? 0)) {
			add(occurrence, formatLocalTaskName(formatTaskName({
				job, occurrence, step, index,
			})), {isDone: true});
		}
	}

	return groups;
}

/** Joins the checkpoints of unfinished tasks, for comparison with those stored last. */
export function joinCheckpoints(tasks: PersistentMap<TaskName, TaskState>): string {
	return [...tasks.values()].flatMap(({isDone, checkpoint}) => isDone || checkpoint === '' ? [] : [checkpoint]).join(' ');
}
