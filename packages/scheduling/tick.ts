/** What time alone changes: orders without an answer, stuck runs, workers that are gone, old records. */
import type {MonotonicTime, Present} from '#core';
import {listStepTasks, type TaskName} from '#jobs';
import {
	negligibleLossMilliseconds, checkpointStoreMilliseconds, drainSlackMilliseconds, endedJobRetentionMilliseconds,
	startConfirmationMilliseconds, stopRetryMilliseconds, stuckMilliseconds, stuckPercentFactor,
} from './constants.js';
import {removeWorker, recordFailure} from './ends.js';
import {estimateRemaining} from './remaining.js';
import {
	chain, listRuns, stopRuns, storeJob, withoutEffects, type SchedulerTransition,
} from './runs.js';
import {
	findWorkerOfRun, isOpen, jobOf, joinCheckpoints, stepOf, withJob, withTask,
} from './state.js';
import type {
	SchedulerEffect, SchedulerState, TaskRun,
} from './types.js';
import {logWaiting} from './wait-logs.js';

export function handleTick(state: SchedulerState, present: Present): SchedulerTransition {
	return chain({...state, isScheduleDue: true}, [
		next => stopUnconfirmedStarts(next, present.monotonic),
		next => retryStops(next, present.monotonic),
		next => stopStuckRuns(next, present.monotonic),
		next => stopRunsOnDrainingWorkers(next, present.monotonic),
		next => removeLostWorkers(next, present),
		next => withoutEffects(expireUnreadWorkers(next, present.monotonic)),
		next => stopPartialGangs(next, present.monotonic),
		next => storeCheckpoints(next, present.monotonic),
		next => removeOldRecords(next, present.monotonic),
		next => logWaiting(next, present),
	]);
}

/** The next run goes to another worker, since this one may leave all its orders unanswered. */
function stopUnconfirmedStarts(state: SchedulerState, monotonic: MonotonicTime): SchedulerTransition {
	const names = listRuns(state)
		.filter(({run}) => run.stage === 'starting' && monotonic - run.orderedAt > startConfirmationMilliseconds)
		.map(({name}) => name);
	const avoiding = names.reduce((next, name) => avoidWorker(next, name), state);
	return stopRuns(avoiding, names, 'start was not confirmed', monotonic);
}

/** Remembers that a task did not do well on the worker where it runs. */
function avoidWorker(state: SchedulerState, name: TaskName): SchedulerState {
	const job = jobOf(state, name);
	const task = job?.tasks.get(name);
	return job === undefined || task?.run === undefined
		? state
		: withJob(state, withTask(job, name, {...task, avoided: [...task.avoided, task.run.incarnation.worker]}));
}

function retryStops(state: SchedulerState, monotonic: MonotonicTime): SchedulerTransition {
	let next = state;
	const effects: SchedulerEffect[] = [];
	for (const {name, run, job} of listRuns(state)) {
		const worker = findWorkerOfRun(state, run);
		const task = job.tasks.get(name);
		const isDue = run.stage === 'stopping' && monotonic - run.orderedAt > stopRetryMilliseconds;
		if (!isDue || worker === undefined || task === undefined || worker.contact.kind !== 'attached') {
			continue;
		}

		const present = next.jobs.get(job.submission.job) ?? job;
		next = withJob(next, withTask(present, name, {...task, run: {...run, orderedAt: monotonic}}));
		effects.push({
			kind: 'stop', agent: worker.agent, incarnation: worker.snapshot.incarnation, orders: [{task: name, run: run.run}],
		});
	}

	return {state: next, effects};
}

/** A run that makes no progress for long is tried on another worker. */
function stopStuckRuns(state: SchedulerState, monotonic: MonotonicTime): SchedulerTransition {
	const stuck = listRuns(state).filter(({run, job}) => isOpen(job) && isStuck(run, monotonic) && findWorkerOfRun(state, run)?.snapshot.isResponsive === true);
	return chain(state, stuck.map(({name, run}) => next => {
		const worker = findWorkerOfRun(next, run);
		const job = jobOf(next, name);
		if (worker === undefined || job?.tasks.get(name)?.run?.stage !== 'running') {
			return withoutEffects(next);
		}

		const noted = recordFailure(avoidWorker(next, name), worker.agent, job.submission.job, monotonic);
		return stopRuns(noted, [name], `no progress for ${Math.round(monotonic - run.progressedAt)} ms`, monotonic);
	}));
}

function isStuck({stage, percent, startedAt, progressedAt}: TaskRun, monotonic: MonotonicTime): boolean {
	const pace = percent > 0 ? (progressedAt - startedAt) / percent : 0;
	return stage === 'running' && percent < 100 && monotonic - progressedAt > Math.max(stuckMilliseconds, pace * stuckPercentFactor);
}

/**
Runs that cannot end before their worker leaves go on elsewhere at once.

What a stop would throw away stays: workers often leave many seconds later than they say, and the run may end until then.
*/
function stopRunsOnDrainingWorkers(state: SchedulerState, monotonic: MonotonicTime): SchedulerTransition {
	const names = listRuns(state).filter(({name, run, job}) => {
		const snapshot = findWorkerOfRun(state, run)?.snapshot;
		const step = stepOf(job, name);
		return snapshot?.state === 'draining' && step !== undefined && run.stage === 'running'
			&& (step.isCheckpointing || monotonic - run.startedAt < negligibleLossMilliseconds)
			&& estimateRemaining(run, step, monotonic) > (snapshot.leavesInMilliseconds ?? 0) + drainSlackMilliseconds;
	}).map(({name}) => name);
	return stopRuns(state, names, 'worker leaves before the run can end', monotonic);
}

function removeLostWorkers(state: SchedulerState, present: Present): SchedulerTransition {
	const gone = [...state.workers.values()].filter(({contact}) => contact.kind === 'lost' && contact.runsUntil <= present.monotonic);
	return chain(state, gone.map(worker => next => removeWorker(next, worker, 'agent was lost and its grant is over', present)));
}

function expireUnreadWorkers(state: SchedulerState, monotonic: MonotonicTime): SchedulerState {
	const unread = new Map([...state.unread].filter(([, {until}]) => until > monotonic));
	return unread.size === state.unread.size ? state : {...state, unread};
}

/** A gang of which only a part was found after a takeover cannot work. */
function stopPartialGangs(state: SchedulerState, monotonic: MonotonicTime): SchedulerTransition {
	if (!state.isLoaded || state.unread.size > 0) {
		return withoutEffects(state);
	}

	const partial: TaskName[] = [];
	for (const job of state.jobs.values()) {
		for (const [index, step] of job.submission.request.steps.entries()) {
			for (let occurrence = 0; step.isGang && isOpen(job) && occurrence < (job.submission.request.schedule?.occurrences ?? 1); occurrence++) {
				const names = listStepTasks(job.submission.job, occurrence, index, step);
				const running = names.filter(name => job.tasks.get(name)?.run !== undefined);
				const numbers = new Set(running.map(name => job.tasks.get(name)?.run?.run));
				if (running.length > 0 && (running.length < names.length || numbers.size > 1)) {
					partial.push(...running);
				}
			}
		}
	}

	return stopRuns(state, partial, 'only a part of the gang runs', monotonic);
}

/** Machines keep nothing, so that a checkpoint that only they know is lost when all of them lose power. */
function storeCheckpoints(state: SchedulerState, monotonic: MonotonicTime): SchedulerTransition {
	const due = [...state.jobs.values()].flatMap(job => {
		const isDue = job.outcome === 'running' && monotonic - job.storedCheckpoints.at >= checkpointStoreMilliseconds;
		const joined = isDue ? joinCheckpoints(job.tasks) : job.storedCheckpoints.joined;
		return joined === job.storedCheckpoints.joined ? [] : [{...job, storedCheckpoints: {joined, at: monotonic}}];
	});
	return chain(state, due.map(job => next => storeJob(next, job)));
}

function removeOldRecords(state: SchedulerState, monotonic: MonotonicTime): SchedulerTransition {
	const old = [...state.jobs.values()].filter(({endedAtMonotonic: closedAt, storedVersion, version}) => closedAt !== undefined
		&& storedVersion >= version && monotonic - closedAt > endedJobRetentionMilliseconds);
	if (old.length === 0) {
		return withoutEffects(state);
	}

	const jobs = new Map(state.jobs);
	for (const {submission: {job}} of old) {
		jobs.delete(job);
	}

	return {state: {...state, jobs}, effects: old.map(({submission: {job}}) => ({kind: 'remove-records', job}))};
}
