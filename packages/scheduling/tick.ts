/** Handles what depends on elapsed time: unanswered orders, stuck runs, lost workers and old records. */
import type {MonotonicTime, CurrentTime} from '#core';
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
	findWorkerOfRun, isOpen, findJob, joinCheckpoints, findStep, withJob, withTask,
} from './state.js';
import type {
	SchedulerEffect, SchedulerState, TaskRun,
} from './types.js';
import {logWaiting} from './wait-logs.js';

export function handleTick(state: SchedulerState, time: CurrentTime): SchedulerTransition {
	return chain({...state, isScheduleDue: true}, [
		next => stopUnconfirmedStarts(next, time.monotonic),
		next => retryStops(next, time.monotonic),
		next => stopStuckRuns(next, time.monotonic),
		next => stopRunsOnDrainingWorkers(next, time.monotonic),
		next => removeLostWorkers(next, time),
		next => withoutEffects(expireUnreadWorkers(next, time.monotonic)),
		next => stopPartialGangs(next, time.monotonic),
		next => storeCheckpoints(next, time.monotonic),
		next => removeOldRecords(next, time.monotonic),
		next => logWaiting(next, time),
	]);
}

/** Stops unconfirmed starts and avoids their workers, which perhaps receive no orders. */
function stopUnconfirmedStarts(state: SchedulerState, monotonic: MonotonicTime): SchedulerTransition {
	const names = listRuns(state)
		.filter(({run}) => run.stage === 'starting' && monotonic - run.orderedAt > startConfirmationMilliseconds)
		.map(({name}) => name);
	const updated = names.reduce((next, name) => avoidWorker(next, name), state);
	return stopRuns(updated, names, 'start was not confirmed', monotonic);
}

/** Excludes the worker of a task's current run from its next placements while there are others. */
function avoidWorker(state: SchedulerState, name: TaskName): SchedulerState {
	const job = findJob(state, name);
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

		const latest = next.jobs.get(job.submission.job) ?? job;
		next = withJob(next, withTask(latest, name, {...task, run: {...run, orderedAt: monotonic}}));
		effects.push({
			kind: 'stop', agent: worker.agent, incarnation: worker.snapshot.incarnation, orders: [{task: name, run: run.run}],
		});
	}

	return {state: next, effects};
}

/** Stops runs without progress, so that their tasks start on other workers. */
function stopStuckRuns(state: SchedulerState, monotonic: MonotonicTime): SchedulerTransition {
	const stuck = listRuns(state).filter(({run, job}) => isOpen(job) && isStuck(run, monotonic) && findWorkerOfRun(state, run)?.snapshot.isResponsive === true);
	return chain(state, stuck.map(({name, run}) => next => {
		const worker = findWorkerOfRun(next, run);
		const job = findJob(next, name);
		if (worker === undefined || job?.tasks.get(name)?.run?.stage !== 'running') {
			return withoutEffects(next);
		}

		const recorded = recordFailure(avoidWorker(next, name), worker.agent, job.submission.job, monotonic);
		return stopRuns(recorded, [name], `no progress for ${Math.round(monotonic - run.progressedAt)} ms`, monotonic);
	}));
}

function isStuck({stage, percent, startedAt, progressedAt}: TaskRun, monotonic: MonotonicTime): boolean {
	const pace = percent > 0 ? (progressedAt - startedAt) / percent : 0;
	return stage === 'running' && percent < 100 && monotonic - progressedAt > Math.max(stuckMilliseconds, pace * stuckPercentFactor);
}

/**
Stops runs that cannot end before their worker leaves, so that they continue elsewhere.

Runs whose work a stop would discard stay: workers often leave many seconds later than announced, and the run may end by then.
*/
function stopRunsOnDrainingWorkers(state: SchedulerState, monotonic: MonotonicTime): SchedulerTransition {
	const names = listRuns(state).filter(({name, run, job}) => {
		const snapshot = findWorkerOfRun(state, run)?.snapshot;
		const step = findStep(job, name);
		return snapshot?.state === 'draining' && step !== undefined && run.stage === 'running'
			&& (step.isCheckpointing || monotonic - run.startedAt < negligibleLossMilliseconds)
			&& estimateRemaining(run, step, monotonic) > (snapshot.leavesInMilliseconds ?? 0) + drainSlackMilliseconds;
	}).map(({name}) => name);
	return stopRuns(state, names, 'worker leaves before the run can end', monotonic);
}

function removeLostWorkers(state: SchedulerState, time: CurrentTime): SchedulerTransition {
	const lost = [...state.workers.values()].filter(({contact}) => contact.kind === 'lost' && contact.runsUntil <= time.monotonic);
	return chain(state, lost.map(worker => next => removeWorker(next, worker, 'agent was lost and its grant is over', time)));
}

function expireUnreadWorkers(state: SchedulerState, monotonic: MonotonicTime): SchedulerState {
	const unread = new Map([...state.unread].filter(([, {until}]) => until > monotonic));
	return unread.size === state.unread.size ? state : {...state, unread};
}

/** Stops gangs of which only a part runs or whose members have different run numbers, as after a takeover, since they cannot work. */
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

/** Stores new checkpoints. Machines have no persistent state, so a checkpoint that only they hold is lost when all of them lose power. */
function storeCheckpoints(state: SchedulerState, monotonic: MonotonicTime): SchedulerTransition {
	const due = [...state.jobs.values()].flatMap(job => {
		const isDue = job.outcome === 'running' && monotonic - job.storedCheckpoints.at >= checkpointStoreMilliseconds;
		const joined = isDue ? joinCheckpoints(job.tasks) : job.storedCheckpoints.joined;
		return joined === job.storedCheckpoints.joined ? [] : [{...job, storedCheckpoints: {joined, at: monotonic}}];
	});
	return chain(state, due.map(job => next => storeJob(next, job)));
}

function removeOldRecords(state: SchedulerState, monotonic: MonotonicTime): SchedulerTransition {
	const expired = [...state.jobs.values()].filter(({endedAtMonotonic, storedVersion, version}) => endedAtMonotonic !== undefined
		&& storedVersion >= version && monotonic - endedAtMonotonic > endedJobRetentionMilliseconds);
	if (expired.length === 0) {
		return withoutEffects(state);
	}

	const jobs = new Map(state.jobs);
	for (const {submission: {job}} of expired) {
		jobs.delete(job);
	}

	return {state: {...state, jobs}, effects: expired.map(({submission: {job}}) => ({kind: 'remove-records', job}))};
}
