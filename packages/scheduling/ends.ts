/** Handles the ends of runs that workers list. */
import type {CurrentTime} from '#core';
import {
	isSameIncarnation, parseJobOfTask, type EndedRun, type JobKey, type TaskName,
} from '#jobs';
import {avoidWorker} from './avoidance.js';
import {recordLastCheckpoint} from './checkpoints.js';
import {avoidanceMilliseconds, failuresBeforeAvoidance} from './constants.js';
import {measureLoss} from './loss.js';
import {isComplete, openForReport} from './occurrences.js';
import {noteEndedRun, type EndOrigin} from './pace.js';
import {
	chain, endJob, stopRuns, storeJob, withoutEffects, type SchedulerTransition,
} from './runs.js';
import {
	countFailures, isOpen, findJob, findTask, resolveQueue, listStepMembers, findStep, markChanged, replaceJob, replaceTask, withTask, withWorker,
} from './state.js';
import {describeLoss} from './stop-reasons.js';
import type {
	AgentName, SchedulerJob, SchedulerState, TaskState,
} from './types.js';

/** Handles a listed end; repeated numbers are ignored. */
export function handleEnd(state: SchedulerState, agent: AgentName, end: EndedRun, time: CurrentTime): SchedulerTransition {
	const worker = state.workers.get(agent);
	if (worker === undefined || end.number <= worker.handledEnd) {
		return withoutEffects(state);
	}

	return chain(withWorker(state, {...worker, handledEnd: end.number}), [
		next => applyEnd(next, {agent, worker: worker.snapshot.worker, incarnation: worker.snapshot.incarnation}, end, time),
		next => deferAcknowledgement(next, agent, end),
	]);
}

/** Handles an end that an incarnation listed before it ended itself. If that incarnation is no longer known, only what lasts counts: a task that is done, or failed, and its checkpoint. */
export function handleLastEnd(state: SchedulerState, origin: EndOrigin, end: EndedRun, time: CurrentTime): SchedulerTransition {
	const worker = state.workers.get(origin.agent);
	if (worker !== undefined && isSameIncarnation(worker.snapshot, origin)) {
		return handleEnd(state, origin.agent, end, time);
	}

	return end.ending === 'done' || end.ending === 'failed' ? applyEnd(state, origin, end, time) : withoutEffects(recordCheckpointOfEnd(state, end));
}

function recordCheckpointOfEnd(state: SchedulerState, end: EndedRun): SchedulerState {
	const task = findTask(state, end.task);
	return task === undefined || task.isDone ? state : replaceTask(state, end.task, recordLastCheckpoint(task, end));
}

/** Defers the acknowledgement of an end until the progress that contains it is stored. */
function deferAcknowledgement(state: SchedulerState, agent: AgentName, {number, task}: EndedRun): SchedulerTransition {
	const worker = state.workers.get(agent);
	const key = parseJobOfTask(task);
	const job = state.jobs.get(key);
	return worker === undefined
		? withoutEffects(state)
		: advanceNotedEnd(withWorker(state, {
			...worker, pendingEnds: [...worker.pendingEnds, {number, job: key, version: job?.version ?? 0}],
		}), agent);
}

/** Advances the number up to which the progress of every end is stored, and acknowledges it. */
export function advanceNotedEnd(state: SchedulerState, agent: AgentName): SchedulerTransition {
	const worker = state.workers.get(agent);
	if (worker === undefined) {
		return withoutEffects(state);
	}

	const firstUnstored = worker.pendingEnds.findIndex(({job, version}) => (state.jobs.get(job)?.storedVersion ?? Infinity) < version);
	const stored = firstUnstored === -1 ? worker.pendingEnds : worker.pendingEnds.slice(0, firstUnstored);
	const notedEnd = stored.at(-1)?.number ?? worker.notedEnd;
	if (notedEnd === worker.notedEnd) {
		return withoutEffects(state);
	}

	return {
		state: withWorker(state, {...worker, notedEnd, pendingEnds: worker.pendingEnds.slice(stored.length)}),
		effects: [{kind: 'acknowledge', agent}],
	};
}

function applyEnd(state: SchedulerState, origin: EndOrigin, end: EndedRun, time: CurrentTime): SchedulerTransition {
	const opened = openForReport(noteEndedRun(state, origin, end, time.monotonic), end.task);
	const {state: next, effects} = applyEndToTask(opened, origin, end, time);
	const log = {
		kind: 'log', event: 'run-ended', fields: {
			task: end.task, run: end.run, ending: end.ending, worker: origin.worker, ...describeLossOfEnd(opened, origin, end, time),
		},
	} as const;
	return {state: next, effects: [...effects, log]};
}

/** Lost work of a run that ended without being done. The line that ordered a stop has counted that of its runs. */
function describeLossOfEnd(state: SchedulerState, origin: EndOrigin, {task: name, run: number, ending}: EndedRun, {monotonic}: CurrentTime): Readonly<Record<string, unknown>> {
	const job = findJob(state, name);
	const run = job?.tasks.get(name)?.run;
	const step = job === undefined ? undefined : findStep(job, name);
	const isCurrentRun = run?.run === number && isSameIncarnation(run.incarnation, origin);
	return step === undefined || !isCurrentRun || run.stage === 'stopping' || ending === 'done' ? {} : describeLoss(`run-${ending}`, measureLoss(run, step, monotonic));
}

function applyEndToTask(state: SchedulerState, origin: EndOrigin, end: EndedRun, time: CurrentTime): SchedulerTransition {
	const job = findJob(state, end.task);
	const task = job?.tasks.get(end.task);
	if (job === undefined || task === undefined) {
		return withoutEffects(state);
	}

	const isCurrentRun = isSameIncarnation(task.run?.incarnation, origin) && task.run?.run === end.run;
	const recorded = recordLastCheckpoint(task, end);
	const released = isCurrentRun ? {...recorded, run: undefined} : recorded;
	const updated = {...released, lastRun: Math.max(released.lastRun, end.run)};
	if (!isOpen(job)) {
		return withoutEffects(withTask(state, end.task, updated));
	}

	return applyEndToOpenJob(replaceJob(state, {...job, hasStarted: true}), {
		job, end, task: updated, origin,
	}, time);
}

/** Applies an end to its task. What has ended has begun, also if it was never listed as running. */
function applyEndToOpenJob(state: SchedulerState, ended: TaskEndWithOrigin, time: CurrentTime): SchedulerTransition {
	const isLongRunning = findStep(ended.job, ended.end.task)?.isLongRunning === true;
	switch (ended.end.ending) {
		case 'done': {
			return isLongRunning ? requeueTask(state, ended, time) : finishTask(state, ended, time);
		}

		case 'failed': {
			return isLongRunning ? requeueTask(state, ended, time) : failTask(state, ended, time);
		}

		case 'stopped':
		case 'lapsed':
		case 'broken':
		case 'alone': {
			return requeueTask(state, ended, time);
		}
	}
}

type TaskEnd = Readonly<{job: SchedulerJob; end: EndedRun; task: TaskState}>;
type TaskEndWithOrigin = TaskEnd & Readonly<{origin: EndOrigin}>;

/** Marks a task as done; one member that is done completes its whole gang. */
function finishTask(state: SchedulerState, {job, end, task, origin}: TaskEndWithOrigin, time: CurrentTime): SchedulerTransition {
	const names = findStep(job, end.task)?.isGang === true ? listStepMembers(job, end.task) : [end.task];
	let next = withTask(state, end.task, task);
	for (const name of names) {
		const member = findTask(next, name);
		if (member !== undefined) {
			next = withTask(next, name, {...member, isDone: true});
		}
	}

	const {job: key} = job.submission;
	return chain(clearFailures(markChanged(next, end.task, time.monotonic), origin.agent), [
		// Stops another run of the same task, which is no longer needed.
		after => end.run === job.tasks.get(end.task)?.run?.run ? withoutEffects(after) : stopRuns(after, [end.task], {kind: 'done-elsewhere'}, time.monotonic),
		after => isJobComplete(after, key) ? endJob(after, key, 'completed', time) : storeCurrent(after, key),
	]);
}

function isJobComplete({jobs}: SchedulerState, key: JobKey): boolean {
	const job = jobs.get(key);
	return job !== undefined && isComplete(job);
}

function storeCurrent(state: SchedulerState, key: JobKey): SchedulerTransition {
	const job = state.jobs.get(key);
	return job === undefined ? withoutEffects(state) : storeJob(state, job);
}

function failTask(state: SchedulerState, {job, end, task, origin}: TaskEndWithOrigin, time: CurrentTime): SchedulerTransition {
	const {job: key} = job.submission;
	const failedRuns = task.failedRuns.includes(end.run) ? task.failedRuns : [...task.failedRuns, end.run];
	const failed = withTask(state, end.task, avoidWorker({...task, failedRuns}, origin.worker, time.monotonic));
	const failedJob = failed.jobs.get(key) ?? job;
	const next = replaceJob(failed, {...failedJob, hasFailures: true, changedAt: time.monotonic});
	return chain(recordFailure(next, origin.agent, key, time.monotonic), [
		after => hasAttemptsLeft(after, end.task) ? storeCurrent(after, key) : endJob(after, key, 'failed', time),
		after => stopGang(after, end, time),
	]);
}

function hasAttemptsLeft(state: SchedulerState, name: TaskName): boolean {
	const job = findJob(state, name);
	return job !== undefined && countFailures(job, name) < resolveQueue(state, job).maximumAttempts;
}

/** Lets a task start again from its latest checkpoint. */
function requeueTask(state: SchedulerState, {end, task}: TaskEnd, time: CurrentTime): SchedulerTransition {
	return stopGang(markChanged(withTask(state, end.task, task), end.task, time.monotonic), end, time);
}

/** Stops the other members of a gang that belong to the same run or an earlier one. They would also end by themselves, but later. */
function stopGang(state: SchedulerState, {task, run}: EndedRun, {monotonic}: CurrentTime): SchedulerTransition {
	const job = findJob(state, task);
	const members = job !== undefined && findStep(job, task)?.isGang === true ? listStepMembers(job, task) : [];
	const hasNewerRun = members.some(name => (job?.tasks.get(name)?.run?.run ?? 0) > run);
	return hasNewerRun ? withoutEffects(state) : stopRuns(state, members, {kind: 'member-ended'}, monotonic);
}

function clearFailures(state: SchedulerState, agent: AgentName): SchedulerState {
	const worker = state.workers.get(agent);
	return worker === undefined || worker.health.failedJobs.length === 0 ? state : withWorker(state, {...worker, health: {...worker.health, failedJobs: []}});
}

/** Records a failure and avoids the worker for a while if several jobs failed there in a row. A job that fails everywhere counts once. */
export function recordFailure(state: SchedulerState, agent: AgentName, job: JobKey, monotonic: number): SchedulerState {
	const worker = state.workers.get(agent);
	if (worker === undefined || worker.health.failedJobs.includes(job)) {
		return state;
	}

	const failedJobs = [...worker.health.failedJobs, job];
	return withWorker(state, {
		...worker,
		health: failedJobs.length < failuresBeforeAvoidance
			? {...worker.health, failedJobs}
			// A single further failure is enough to avoid the worker again.
			: {failedJobs: failedJobs.slice(1), avoidedUntil: monotonic + avoidanceMilliseconds},
	});
}
