/** The scheduler's state in persistent collections: a change costs the same however many jobs, tasks and workers there are. */
import {Map as PersistentMap, Set as PersistentSet} from 'immutable';
import type {MonotonicTime} from '#core';
import {
	indexLists, isSameIncarnation, listsOf, parseJobOfTask, parseTaskName, type JobStep, type Queue, type Resources, type TaskName,
} from '#jobs';
import {noClosedZones} from '#zones';
import {createPaceState} from '#pace';
import {defaultPolicy, type SchedulingPolicy} from './policy.js';
import type {
	SchedulerJob, SchedulerState, SchedulerWorker, TaskCounts, TaskRun, TaskState,
} from './types.js';

export function createSchedulerState(epoch: number, policy: SchedulingPolicy = defaultPolicy): SchedulerState {
	return {
		epoch,
		policy,
		configuration: undefined,
		jobs: PersistentMap(),
		workers: PersistentMap(),
		runs: PersistentMap(),
		unacknowledged: PersistentSet(),
		unansweredStarts: PersistentMap(),
		lateAcknowledgements: PersistentMap(),
		unread: PersistentMap(),
		departures: PersistentMap(),
		leaseUntil: Infinity,
		isLoaded: false,
		deferredIncarnationEnds: [],
		closedZones: noClosedZones,
		checkedZones: new Map(),
		unopenedLoggedAt: -Infinity,
		isScheduleDue: false,
		pace: {
			beliefs: createPaceState(), ended: [], sampledAt: -Infinity,
		},
	};
}

/** Latest time at which no other scheduler can have extended the leases of workers that do not report to this one. */
export function latestSoleTime({leaseUntil}: SchedulerState, monotonic: MonotonicTime): MonotonicTime {
	return Math.min(monotonic, leaseUntil);
}

/** Replaces a job without requesting a scheduling pass; its tasks are replaced by `replaceTask` only. */
export function replaceJob(state: SchedulerState, job: SchedulerJob): SchedulerState {
	return {...state, jobs: state.jobs.set(job.submission.job, job)};
}

/** Replaces a worker without requesting a scheduling pass. */
export function replaceWorker(state: SchedulerState, worker: SchedulerWorker): SchedulerState {
	return {
		...state,
		workers: state.workers.set(worker.agent, worker),
		unacknowledged: worker.pendingEnds.length === 0 ? state.unacknowledged.delete(worker.agent) : state.unacknowledged.add(worker.agent),
	};
}

/** Replaces a job and requests a scheduling pass. */
export function withJob(state: SchedulerState, job: SchedulerJob): SchedulerState {
	return {...replaceJob(state, job), isScheduleDue: true};
}

/** Replaces a worker and requests a scheduling pass. */
export function withWorker(state: SchedulerState, worker: SchedulerWorker): SchedulerState {
	return {...replaceWorker(state, worker), isScheduleDue: true};
}

/** Replaces a task without requesting a scheduling pass; keeps the job's counts and the runs of each worker up to date. */
export function replaceTask(state: SchedulerState, name: TaskName, task: TaskState): SchedulerState {
	const job = findJob(state, name);
	const earlier = job?.tasks.get(name);
	if (job === undefined || earlier === undefined) {
		return state;
	}

	return {
		...state,
		jobs: state.jobs.set(job.submission.job, {
			...job, tasks: job.tasks.set(name, task), counts: recount(job.counts, earlier, task), hasStarted: job.hasStarted || hasStarted(task),
		}),
		runs: earlier.run?.agent === task.run?.agent ? state.runs : addRun(removeRun(state.runs, name, earlier.run), name, task.run),
	};
}

/** Replaces a task and requests a scheduling pass. */
export function withTask(state: SchedulerState, name: TaskName, task: TaskState): SchedulerState {
	return {...replaceTask(state, name, task), isScheduleDue: true};
}

function recount(counts: TaskCounts, earlier: TaskState, task: TaskState): TaskCounts {
	const first = countTask(earlier);
	const second = countTask(task);
	return first === second
		? counts
		: {
			waiting: counts.waiting + second.waiting - first.waiting,
			running: counts.running + second.running - first.running,
			unfinished: counts.unfinished + second.unfinished - first.unfinished,
		};
}

const taskCountsByState = {
	waiting: {waiting: 1, running: 0, unfinished: 1},
	running: {waiting: 0, running: 1, unfinished: 1},
	done: {waiting: 0, running: 0, unfinished: 0},
	/** A member of a completed gang, until its end is listed. */
	ending: {waiting: 0, running: 1, unfinished: 0},
} as const satisfies Record<string, TaskCounts>;

function countTask({isDone, run}: TaskState): TaskCounts {
	if (run === undefined) {
		return isDone ? taskCountsByState.done : taskCountsByState.waiting;
	}

	return isDone ? taskCountsByState.ending : taskCountsByState.running;
}

function removeRun(runs: SchedulerState['runs'], name: TaskName, run: TaskRun | undefined): SchedulerState['runs'] {
	const names = run === undefined ? undefined : runs.get(run.agent)?.delete(name);
	if (run === undefined || names === undefined) {
		return runs;
	}

	return names.size === 0 ? runs.delete(run.agent) : runs.set(run.agent, names);
}

function addRun(runs: SchedulerState['runs'], name: TaskName, run: TaskRun | undefined): SchedulerState['runs'] {
	return run === undefined ? runs : runs.set(run.agent, (runs.get(run.agent) ?? PersistentSet<TaskName>()).add(name));
}

/** What shows that a task has begun; stored progress has no run. */
type StartEvidence = Pick<TaskState, 'isDone' | 'failedRuns' | 'checkpoint' | 'crashes'> & Readonly<{run?: TaskState['run']}>;

/** Whether a run of the task has certainly begun on a worker. A start that was ordered and refused, or got no answer, does not show that. */
export function hasStarted({isDone, run, failedRuns, checkpoint, crashes}: StartEvidence): boolean {
	return isDone || run?.isStartConfirmed === true || failedRuns.length > 0 || checkpoint !== '' || crashes.length > 0;
}

export function findJob(state: SchedulerState, task: TaskName): SchedulerJob | undefined {
	return state.jobs.get(parseJobOfTask(task));
}

export function findTask(state: SchedulerState, task: TaskName): TaskState | undefined {
	return findJob(state, task)?.tasks.get(task);
}

/** Restarts the job's waiting time, which is measured from its last change. */
export function markChanged(state: SchedulerState, name: TaskName, monotonic: MonotonicTime): SchedulerState {
	const job = findJob(state, name);
	return job === undefined ? state : replaceJob(state, {...job, changedAt: monotonic});
}

/** The current queue of a job, or the queue as of its acceptance if that was removed since. */
export function resolveQueue({configuration}: SchedulerState, {submission: {queue}}: SchedulerJob): Queue {
	return configuration?.queues.find(({name}) => name === queue.name) ?? queue;
}

/** Finds the step of a task, also if its occurrence is not open. */
export function findStep({submission, tasks}: SchedulerJob, task: TaskName): JobStep | undefined {
	return submission.request.steps[tasks.get(task)?.stepIndex ?? parseTaskName(task).step];
}

/** Resources that a task uses on its worker. Filling tasks use only processor time that others leave unused. */
export function resourcesOf({processorMillicores, memoryMegabytes, accelerators, isFilling}: JobStep): Resources {
	return {processorMillicores: isFilling ? 0 : processorMillicores, memoryMegabytes, accelerators};
}

/** Lists all tasks of the step and occurrence that the task belongs to, itself included. */
export function listStepMembers(job: SchedulerJob, name: TaskName): readonly TaskName[] {
	const task = job.tasks.get(name);
	return task === undefined ? [] : job.taskNames.get(task.occurrence)?.[task.stepIndex] ?? [];
}

/** Finds the worker of a run; undefined if its incarnation is no longer there. */
export function findWorkerOfRun({workers}: SchedulerState, {agent, incarnation}: TaskRun): SchedulerWorker | undefined {
	const worker = workers.get(agent);
	return worker !== undefined && isSameIncarnation(worker.snapshot, incarnation) ? worker : undefined;
}

export function isOpen({outcome}: SchedulerJob): boolean {
	return outcome === 'queued' || outcome === 'running';
}

/** Counts the failed runs of a task, or of its whole gang; members of a gang share run numbers. */
export function countFailures(job: SchedulerJob, task: TaskName): number {
	const names = findStep(job, task)?.isGang === true ? listStepMembers(job, task) : [task];
	return new Set(names.flatMap(name => job.tasks.get(name)?.failedRuns ?? [])).size;
}

/** Joins the checkpoints of unfinished tasks, for comparison with those stored last. */
export function joinCheckpoints(tasks: SchedulerJob['tasks']): string {
	return [...tasks.values()].map(({isDone, checkpoint}) => isDone ? '' : checkpoint).join(' ');
}

/** Whether the run may have ended although its worker, which lists only a part of its ends, does not say so yet. */
export function mayHaveEndedUnlisted(state: SchedulerState, task: TaskName, run: TaskRun): boolean {
	const worker = findWorkerOfRun(state, run);
	const lists = worker === undefined ? undefined : listsOf(worker.snapshot);
	return lists?.ended.kind === 'cut' && indexLists(lists)(task, run.run) === 'unknown';
}

/** Whether a run is on the current incarnation of a worker. */
export function isRunOn(run: TaskRun | undefined, {snapshot}: SchedulerWorker): run is TaskRun {
	return run !== undefined && isSameIncarnation(run.incarnation, snapshot);
}

/** Whether a task that an earlier scheduler started may run on a worker that has not reported yet. */
export function mayRunOnUnreadWorker({unread}: SchedulerState, {isInherited, outcome, agents}: SchedulerJob): boolean {
	return isInherited && outcome === 'running' && unread.size > 0 && (agents === undefined || [...unread.keys()].some(agent => agents.has(agent)));
}

/** Lists open jobs, oldest first. */
export function listOpenJobs({jobs}: SchedulerState): readonly SchedulerJob[] {
	return jobs.valueSeq().filter(job => isOpen(job)).toArray().toSorted((first, second) => first.submission.submittedAt - second.submission.submittedAt);
}

/** Counts the jobs of which no task has begun on a worker, by queue. */
export function countPending({jobs}: SchedulerState): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (const job of jobs.values()) {
		if (isOpen(job) && !job.hasStarted) {
			counts.set(job.submission.queue.name, (counts.get(job.submission.queue.name) ?? 0) + 1);
		}
	}

	return counts;
}
