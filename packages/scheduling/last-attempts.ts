/**
Tries a task that has one attempt left before the job's other waiting tasks.

Addresses wide jobs that fail for good: what their other tasks do meanwhile is lost with them. The other tasks wait while the outcome is open, at most for the task's estimated duration, and only while something of the job runs or is about to.
*/
import type {MonotonicTime} from '#core';
import type {Queue, TaskName} from '#jobs';
import {taskAvoidanceMilliseconds} from './constants.js';
import {countFailures} from './state.js';
import type {SchedulerJob, TaskState} from './types.js';

/** The tasks of a step that may start, and whether they may start only if nothing else of the job runs. */
export type AttemptChoice = Readonly<{tasks: readonly TaskName[]; isHeldBack: boolean}>;

/** A task that has failed less often mostly failed by chance: of 39 tasks of which each fails with a chance of 5%, one fails in 86% of the jobs, and holding the others back would delay those. */
const failuresBeforeDoubt = 2;

/** Lists the tasks of the job whose outcome decides whether it can complete, as long as the others wait for them. */
export function listDecisiveTasks(job: SchedulerJob, queue: Queue, monotonic: MonotonicTime): ReadonlySet<TaskName> {
	if (!job.hasFailures || queue.maximumAttempts <= failuresBeforeDoubt) {
		return new Set();
	}

	const {submission: {request: {steps}}, slowdown, taskNames} = job;
	return new Set([...taskNames.values()].flatMap(namesByStep => [...steps.entries()].flatMap(([index, step]) => {
		const duration = step.estimatedMilliseconds * (slowdown ?? 1);
		return step.isLongRunning ? [] : listOpenAttempts(job, namesByStep[index] ?? [], {isGang: step.isGang, maximumAttempts: queue.maximumAttempts, since: monotonic - duration});
	})));
}

type AttemptLimits = Readonly<{isGang: boolean; maximumAttempts: number; since: MonotonicTime}>;

/** Lists the tasks of a step that have one attempt left, which is open since the given time; the members of a gang share their attempts. */
function listOpenAttempts(job: SchedulerJob, names: readonly TaskName[], {isGang, maximumAttempts, since}: AttemptLimits): readonly TaskName[] {
	const isDecisive = (name: TaskName) => {
		const task = job.tasks.get(name);
		return task !== undefined && !task.isDone && findOpenSince(task) > since;
	};

	const [first] = names;
	if (isGang) {
		return first !== undefined && countFailures(job, first) === maximumAttempts - 1 && names.some(name => isDecisive(name)) ? names : [];
	}

	return names.filter(name => (job.tasks.get(name)?.failedRuns.length ?? 0) > 0 && countFailures(job, name) === maximumAttempts - 1 && isDecisive(name));
}

/** When the last attempt began, or the one before failed. Under the next scheduler nothing waits until the last attempt has begun. */
function findOpenSince({run, avoided}: TaskState): MonotonicTime {
	return run?.startedAt ?? Math.max(-Infinity, ...avoided.map(({until}) => until - taskAvoidanceMilliseconds));
}

/** Splits the waiting tasks of a step into those that are tried first and those that wait for the decisive tasks of the job. */
export function splitByAttempts(waiting: readonly TaskName[], decisive: ReadonlySet<TaskName>): readonly AttemptChoice[] {
	if (decisive.size === 0) {
		return [{tasks: waiting, isHeldBack: false}];
	}

	const first = waiting.filter(name => decisive.has(name));
	const others = waiting.filter(name => !decisive.has(name));
	return [{tasks: first, isHeldBack: false}, {tasks: others, isHeldBack: true}].filter(({tasks}) => tasks.length > 0);
}
