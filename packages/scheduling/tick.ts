/** Handles what depends on elapsed time: unanswered orders, stuck runs, lost workers and old records. */
import type {MonotonicTime, CurrentTime} from '#core';
import type {TaskName} from '#jobs';
import {avoidWorker} from './avoidance.js';
import {isInClosedZone, logUnnamedZones} from './closed-zones.js';
import {
	closedZoneConfirmationMilliseconds, negligibleLossMilliseconds, checkpointStoreMilliseconds, drainSlackMilliseconds, endedJobRetentionMilliseconds,
	startConfirmationMilliseconds, stopRetryMilliseconds, stuckMilliseconds, stuckPercentFactor,
} from './constants.js';
import {recordFailure} from './ends.js';
import {removeWorker} from './incarnations.js';
import {expireLateAcknowledgements} from './late-acknowledgements.js';
import {closeOccurrences} from './occurrences.js';
import {samplePaces} from './pace.js';
import {joinCheckpoints} from './progress.js';
import {latestEndOfRuns} from './reports.js';
import {estimateRemaining} from './remaining.js';
import {
	chain, listRuns, stopRuns, storeJob, withoutEffects, type ListedRun, type SchedulerTransition,
} from './runs.js';
import {
	findWorkerOfRun, isOpen, findJob, findTask, findStep, latestSoleTime, mayHaveEndedUnlisted, mayRunOnUnreadWorker, withTask,
} from './state.js';
import {expireUnansweredStarts} from './unanswered-starts.js';
import type {
	SchedulerEffect, SchedulerJob, SchedulerState, TaskRun,
} from './types.js';

export function handleTick(state: SchedulerState, time: CurrentTime): SchedulerTransition {
	const runs = listRuns(state);
	return chain({...state, isScheduleDue: true}, [
		next => stopUnconfirmedStarts(next, runs, time.monotonic),
		next => retryStops(next, runs, time.monotonic),
		next => stopStuckRuns(next, runs, time.monotonic),
		next => stopRunsOnDrainingWorkers(next, runs, time.monotonic),
		next => removeLostWorkers(next, time),
		next => withoutEffects(expireUnreadWorkers(next, time.monotonic)),
		next => withoutEffects(expireUnansweredStarts(next, time.monotonic)),
		next => withoutEffects(expireLateAcknowledgements(next, time.monotonic)),
		next => stopPartialGangs(next, time.monotonic),
		next => storeCheckpoints(next, time.monotonic),
		next => removeOldRecords(next, time.monotonic),
		next => samplePaces(next, runs, time.monotonic),
		next => withoutEffects(closeOccurrences(next)),
		next => logUnnamedZones(next, time.monotonic),
	]);
}

/** Stops unconfirmed starts and avoids their workers, which perhaps receive no orders. */
function stopUnconfirmedStarts(state: SchedulerState, runs: readonly ListedRun[], monotonic: MonotonicTime): SchedulerTransition {
	const starting = runs.filter(({run}) => run.stage === 'starting');
	const names = starting.filter(({run}) => monotonic - run.orderedAt > startConfirmationMilliseconds).map(({name}) => name);
	const updated = names.reduce((next, name) => avoidWorkerOfRun(next, name, monotonic), state);
	const inClosedZones = starting.filter(({run}) => monotonic - run.orderedAt > closedZoneConfirmationMilliseconds && isRunInClosedZone(state, run)).map(({name}) => name);
	return chain(updated, [
		next => stopRuns(next, names, {kind: 'not-confirmed'}, monotonic),
		next => stopRuns(next, inClosedZones, {kind: 'not-confirmed-in-closed-zone'}, monotonic),
	]);
}

function isRunInClosedZone(state: SchedulerState, run: TaskRun): boolean {
	const worker = findWorkerOfRun(state, run);
	return worker !== undefined && isInClosedZone(state, worker);
}

function avoidWorkerOfRun(state: SchedulerState, name: TaskName, monotonic: MonotonicTime): SchedulerState {
	const task = findTask(state, name);
	return task?.run === undefined ? state : withTask(state, name, avoidWorker(task, task.run.incarnation.worker, monotonic));
}

function retryStops(state: SchedulerState, runs: readonly ListedRun[], monotonic: MonotonicTime): SchedulerTransition {
	let next = state;
	const effects: SchedulerEffect[] = [];
	for (const {name, run, task} of runs) {
		const isDue = run.stage === 'stopping' && monotonic - run.orderedAt > stopRetryMilliseconds && !(run.isStopConfirmed && mayHaveEndedUnlisted(state, name, run));
		const worker = isDue ? findWorkerOfRun(state, run) : undefined;
		if (worker?.contact !== 'attached') {
			continue;
		}

		next = withTask(next, name, {...task, run: {...run, orderedAt: monotonic}});
		effects.push({
			kind: 'stop', agent: worker.agent, incarnation: worker.snapshot.incarnation, orders: [{task: name, run: run.run}],
		});
	}

	return {state: next, effects};
}

/** Stops runs without progress, so that their tasks start on other workers. */
function stopStuckRuns(state: SchedulerState, runs: readonly ListedRun[], monotonic: MonotonicTime): SchedulerTransition {
	const stuck = runs.filter(({name, run, job}) => isStuck(run, monotonic) && isOpen(job) && findWorkerOfRun(state, run)?.snapshot.isResponsive === true && !mayHaveEndedUnlisted(state, name, run));
	return chain(state, stuck.map(({name, run}) => next => {
		const worker = findWorkerOfRun(next, run);
		const job = findJob(next, name);
		if (worker === undefined || job?.tasks.get(name)?.run?.stage !== 'running') {
			return withoutEffects(next);
		}

		const recorded = recordFailure(avoidWorkerOfRun(next, name, monotonic), worker.agent, job.submission.job, monotonic);
		const duration = monotonic - run.progressedAt;
		return stopRuns(recorded, [name], {kind: 'no-progress', duration}, monotonic);
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
function stopRunsOnDrainingWorkers(state: SchedulerState, runs: readonly ListedRun[], monotonic: MonotonicTime): SchedulerTransition {
	const names = runs.filter(({name, run, job}) => {
		const snapshot = findWorkerOfRun(state, run)?.snapshot;
		const step = findStep(job, name);
		return snapshot?.state === 'draining' && step !== undefined && run.stage === 'running'
			&& (step.isCheckpointing || monotonic - run.startedAt < negligibleLossMilliseconds)
			&& estimateRemaining(run, step, monotonic) > (snapshot.leavesInMilliseconds ?? 0) + drainSlackMilliseconds;
	}).map(({name}) => name);
	return stopRuns(state, names, {kind: 'worker-draining'}, monotonic);
}

/** Removes workers whose last grant is over, also those whose agents are still connected: their leases were not extended since. */
function removeLostWorkers(state: SchedulerState, time: CurrentTime): SchedulerTransition {
	const latest = latestSoleTime(state, time.monotonic);
	const lost = [...state.workers.values()].filter(({grantedAt}) => latestEndOfRuns(grantedAt) <= latest);
	return chain(state, lost.map(worker => next => removeWorker(next, worker, 'agent-lost', time)));
}

function expireUnreadWorkers(state: SchedulerState, monotonic: MonotonicTime): SchedulerState {
	const latest = latestSoleTime(state, monotonic);
	const unread = state.unread.filter(({until}) => until > latest);
	return unread.size === state.unread.size ? state : {...state, unread};
}

/** Stops gangs of which only a part runs or whose members have different run numbers, as after a takeover, since they cannot work. */
function stopPartialGangs(state: SchedulerState, monotonic: MonotonicTime): SchedulerTransition {
	if (!state.isLoaded) {
		return withoutEffects(state);
	}

	const partial: TaskName[] = [];
	for (const job of state.jobs.values()) {
		if (job.counts.running > 0 && isOpen(job) && !mayRunOnUnreadWorker(state, job)) {
			partial.push(...job.submission.request.steps.flatMap(({isGang}, index) => isGang ? [...job.taskNames.values()].flatMap(namesByStep => listPartialGang(job, namesByStep[index] ?? [])) : []));
		}
	}

	return stopRuns(state, partial, {kind: 'gang-incomplete'}, monotonic);
}

/** Lists the members that run if they are not the whole gang under one run number. */
function listPartialGang({tasks}: SchedulerJob, names: readonly TaskName[]): readonly TaskName[] {
	const running = names.filter(name => tasks.get(name)?.run !== undefined);
	const numbers = new Set(running.map(name => tasks.get(name)?.run?.run));
	return running.length > 0 && (running.length < names.length || numbers.size > 1) ? running : [];
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

	return {
		state: {...state, jobs: state.jobs.deleteAll(expired.map(({submission: {job}}) => job))},
		effects: expired.map(({submission: {job}, keyVersion}) => ({kind: 'remove-records', job, keyVersion})),
	};
}
