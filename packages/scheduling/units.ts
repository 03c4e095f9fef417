import type {
	Milliseconds, MonotonicTime, CurrentTime, WorkerId,
} from '#core';
import type {
	JobStep, Queue, TaskName, JobKey,
} from '#jobs';
import type {TaskKind} from '#pace';
import {
	atRiskSlackShare, guaranteedRackWaitMilliseconds, longTaskFactor, remoteRackFactor,
} from './constants.js';
import {listRepeatedlyAvoided} from './avoidance.js';
import {chooseIsolation, selectStartable, type Isolation} from './crashes.js';
import {listDueOccurrences} from './occurrences.js';
import {listDecisiveTasks, splitByAttempts} from './last-attempts.js';
import type {Rank} from './rank.js';
import {
	countFailures, isOpen, mayRunOnUnreadWorker, resolveQueue,
} from './state.js';
import type {SchedulerJob, SchedulerState} from './types.js';
import {hasUnansweredStart} from './unanswered-starts.js';

/** The waiting tasks of one step; those of a gang are placed only together. */
export type SchedulingUnit = Readonly<{
	job: SchedulerJob;
	queue: Queue;
	step: JobStep;
	occurrence: number;
	stepIndex: number;
	tasks: readonly TaskName[];
	rank: Rank;
	waitingSince: MonotonicTime;
	/** Whether the job can no longer earn its full value. */
	isLate: boolean;
	/** Whether the tasks take much longer than those of other jobs, by the caller's estimate and their progress so far. */
	isLong: boolean;
	/** Whether the job has used up so much of its slack that it will be late unless it starts soon. */
	isAtRisk: boolean;
	/** How long the tasks wait for one rack, or the rack of their data, before they run elsewhere. */
	rackWaitLimit: Milliseconds;
	isolation: Isolation;
	/** Whether the tasks start only if nothing else of the job runs, since a last attempt of another task is open. */
	isHeldBack: boolean;
	/** Workers that all its tasks, or one task of a gang, avoided more than once. */
	repeatedlyAvoided: ReadonlySet<WorkerId>;
	/** Kind of the tasks if they are to be kept apart from another kind. */
	kindToKeepApart?: TaskKind | undefined;
}>;

/** Lists the units that may start now, in order of placement. */
export function listSchedulingUnits(state: SchedulerState, ranks: ReadonlyMap<JobKey, Rank>, {now, monotonic}: CurrentTime): readonly SchedulingUnit[] {
	const units: SchedulingUnit[] = [];
	const medianDuration = findMedianDuration(state);
	const mayStart = (task: TaskName) => !hasUnansweredStart(state, task, monotonic);
	for (const job of state.jobs.values()) {
		if (job.counts.waiting === 0 || !isOpen(job) || mayRunOnUnreadWorker(state, job)) {
			continue;
		}

		const queue = resolveQueue(state, job);
		const rank = ranks.get(job.submission.job) ?? queue.priority + 1;
		const age = now - job.submission.submittedAt;
		const criticalPath = estimateCriticalPath(job);
		// A job that ends within this time of its submission earns its full value.
		const onTimeLimit = (queue.stretch * criticalPath) + queue.targetMilliseconds;
		const isLate = age > onTimeLimit;
		const isAtRisk = age > (onTimeLimit - criticalPath) * atRiskSlackShare;
		const decisive = state.policy.lastAttempts === 'alone' && rank > 0 ? listDecisiveTasks(job, queue, monotonic) : new Set<TaskName>();
		for (const occurrence of listDueOccurrences(job, now)) {
			const waitingSince = Math.min(job.changedAt, monotonic);
			units.push(...listReadySteps(job, occurrence, {queue, decisive, mayStart}).map(unit => ({
				...unit,
				rank,
				isLate,
				isAtRisk,
				isLong: unit.step.estimatedMilliseconds * (job.slowdown ?? 1) >= medianDuration * longTaskFactor,
				waitingSince,
				isolation: chooseIsolation(job, unit.tasks, waitingSince, monotonic),
				repeatedlyAvoided: listRepeatedlyAvoided(job, unit.tasks, unit.step.isGang),
				rackWaitLimit: rank === 0 ? Math.min(unit.step.estimatedMilliseconds, guaranteedRackWaitMilliseconds) : unit.step.estimatedMilliseconds,
			})));
		}
	}

	return units.toSorted(compareUnits);
}

/** Lets a unit wait for its rack as long as its tasks would take elsewhere. In a busy pool, tasks that run slowly take the room of others for that time. */
export function extendRackWait(unit: SchedulingUnit): SchedulingUnit {
	return unit.rank === 0 ? unit : {...unit, rackWaitLimit: unit.rackWaitLimit * remoteRackFactor};
}

type StepUnit = Pick<SchedulingUnit, 'job' | 'queue' | 'step' | 'occurrence' | 'stepIndex' | 'tasks' | 'isHeldBack'>;

type ReadyOptions = Readonly<{queue: Queue; decisive: ReadonlySet<TaskName>; mayStart(task: TaskName): boolean}>;

function listReadySteps(job: SchedulerJob, occurrence: number, {queue, decisive, mayStart}: ReadyOptions): readonly StepUnit[] {
	const {steps} = job.submission.request;
	const namesOf = (index: number) => job.taskNames.get(occurrence)?.[index] ?? [];
	const isStepDone = (index: number) => namesOf(index).every(name => job.tasks.get(name)?.isDone === true);

	return [...steps.entries()].flatMap(([stepIndex, step]) => {
		if (!step.after.every(index => isStepDone(index))) {
			return [];
		}

		const names = namesOf(stepIndex);
		const waiting = selectStartable(job, names, listWaiting(job, names, step, queue), step.isGang).filter(name => mayStart(name));
		const isStartable = step.isGang ? waiting.length === names.length : waiting.length > 0;
		return isStartable
			? splitByAttempts(waiting, decisive).map(choice => ({
				job, queue, step, occurrence, stepIndex, ...choice,
			}))
			: [];
	});
}

/** Lists the tasks without a run that have attempts left; the members of a gang share their attempts. */
function listWaiting(job: SchedulerJob, names: readonly TaskName[], {isGang, isLongRunning}: JobStep, {maximumAttempts}: Queue): readonly TaskName[] {
	const [firstName] = names;
	const gangFailures = isGang && firstName !== undefined ? countFailures(job, firstName) : 0;
	return names.filter(name => {
		const task = job.tasks.get(name);
		return task !== undefined && !task.isDone && task.run === undefined
			&& (isLongRunning || (isGang ? gangFailures : new Set(task.failedRuns).size) < maximumAttempts);
	});
}

/** Median over all jobs of the estimated duration of their longest task. */
export function findMedianDuration({jobs}: SchedulerState): Milliseconds {
	const durations = [...jobs.values()]
		.map(({submission: {request: {steps}}}) => Math.max(...steps.map(step => step.estimatedMilliseconds)))
		.toSorted((first, second) => first - second);
	return durations[Math.floor(durations.length / 2)] ?? 0;
}

/** Estimates the duration of the longest chain of steps from the caller's estimates and the progress of the runs. */
export function estimateCriticalPath({submission: {request: {steps}}, slowdown}: SchedulerJob): Milliseconds {
	const pathDurations: number[] = [];
	for (const {after, estimatedMilliseconds} of steps) {
		pathDurations.push(estimatedMilliseconds + Math.max(0, ...after.map(index => pathDurations[index] ?? 0)));
	}

	return Math.max(0, ...pathDurations) * (slowdown ?? 1);
}

/** Orders by rank, then units that can still be on time, then short ones, then by age. */
function compareUnits(first: SchedulingUnit, second: SchedulingUnit): number {
	return first.rank - second.rank
		|| Number(first.isLate) - Number(second.isLate)
		|| Number(first.isLong) - Number(second.isLong)
		|| first.job.submission.submittedAt - second.job.submission.submittedAt
		|| Number(first.isHeldBack) - Number(second.isHeldBack);
}
