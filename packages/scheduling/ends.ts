/** What the ends that a worker lists change. */
import type {Present} from '#core';
import {
	parseTaskName, type EndedRun, type JobKey, type TaskName,
} from '#jobs';
import {avoidanceMilliseconds, failuresBeforeAvoidance} from './constants.js';
import {lossOfRun} from './loss.js';
import {
	chain, endJob, releaseRun, stopRuns, storeJob, withoutEffects, type SchedulerTransition,
} from './runs.js';
import {
	countFailures, isOpen, isRunOn, jobOf, queueOf, listStepMembers, stepOf, withJob, withTask, withWorker,
} from './state.js';
import type {
	AgentName, SchedulerJob, SchedulerState, SchedulerWorker, TaskState,
} from './types.js';

/** Handles one listed end, once for each number. */
export function handleEnd(state: SchedulerState, agent: AgentName, row: EndedRun, present: Present): SchedulerTransition {
	const worker = state.workers.get(agent);
	if (worker === undefined || row.number <= worker.handledEnd) {
		return withoutEffects(state);
	}

	return chain(withWorker(state, {...worker, handledEnd: row.number}), [
		next => applyEnd(next, agent, row, present),
		next => ({
			state: next, effects: [{
				kind: 'log', event: 'run-ended', fields: {
					task: row.task, run: row.run, ending: row.ending, worker: worker.snapshot.worker,
				},
			}],
		}),
		next => recordEnd(next, agent, row),
	]);
}

/** The end waits until the progress that contains it is stored. */
function recordEnd(state: SchedulerState, agent: AgentName, {number, task}: EndedRun): SchedulerTransition {
	const worker = state.workers.get(agent);
	const {job: key} = parseTaskName(task);
	const job = state.jobs.get(key);
	return worker === undefined
		? withoutEffects(state)
		: advanceNotedEnd(withWorker(state, {
			...worker, pendingEnds: [...worker.pendingEnds, {number, job: key, version: job?.version ?? 0}],
		}), agent);
}

/** Raises the number of the end up to which everything is stored. */
export function advanceNotedEnd(state: SchedulerState, agent: AgentName): SchedulerTransition {
	const worker = state.workers.get(agent);
	if (worker === undefined) {
		return withoutEffects(state);
	}

	const firstOpen = worker.pendingEnds.findIndex(({job, version}) => (state.jobs.get(job)?.storedVersion ?? Infinity) < version);
	const stored = firstOpen === -1 ? worker.pendingEnds : worker.pendingEnds.slice(0, firstOpen);
	const notedEnd = stored.at(-1)?.number ?? worker.notedEnd;
	if (notedEnd === worker.notedEnd) {
		return withoutEffects(state);
	}

	return {
		state: withWorker(state, {...worker, notedEnd, pendingEnds: worker.pendingEnds.slice(stored.length)}),
		effects: [{kind: 'acknowledge', agent}],
	};
}

function applyEnd(state: SchedulerState, agent: AgentName, row: EndedRun, present: Present): SchedulerTransition {
	const job = state.jobs.get(parseTaskName(row.task).job);
	const task = job?.tasks.get(row.task);
	const worker = state.workers.get(agent);
	const step = job === undefined ? undefined : stepOf(job, row.task);
	if (job === undefined || task === undefined || worker === undefined || step === undefined) {
		return withoutEffects(state);
	}

	const isPresentRun = isRunOn(task.run, worker) && task.run.run === row.run;
	const kept = isPresentRun ? {...task, run: undefined} : task;
	const raised = {...kept, lastRun: Math.max(kept.lastRun, row.run)};
	if (!isOpen(job)) {
		return withoutEffects(withJob(state, withTask(job, row.task, raised)));
	}

	switch (row.ending) {
		case 'done': {
			return step.isLongRunning
				? requeueTask(state, {job, row, task: raised}, present)
				: finishTask(state, {
					job, row, task: raised, agent,
				}, present);
		}

		case 'failed': {
			return step.isLongRunning
				? requeueTask(state, {job, row, task: raised}, present)
				: failTask(state, {
					job, row, task: raised, agent,
				}, present);
		}

		case 'stopped':
		case 'lapsed':
		case 'broken':
		case 'alone': {
			return requeueTask(state, {job, row, task: raised}, present);
		}
	}
}

type TaskEnd = Readonly<{job: SchedulerJob; row: EndedRun; task: TaskState}>;
type TaskEndOnAgent = TaskEnd & Readonly<{agent: AgentName}>;

/** One member that is done stands for its whole gang. */
function finishTask(state: SchedulerState, {job, row, task, agent}: TaskEndOnAgent, present: Present): SchedulerTransition {
	const names = stepOf(job, row.task)?.isGang === true ? listStepMembers(job, row.task) : [row.task];
	let next = withTask(job, row.task, task);
	for (const name of names) {
		const member = next.tasks.get(name);
		if (member !== undefined) {
			next = withTask(next, name, {...member, isDone: true});
		}
	}

	const isDone = [...next.tasks.values()].every(member => member.isDone);
	return chain(clearFailures(withJob(state, {...next, changedAt: present.monotonic}), agent), [
		// A second run of a task that is done elsewhere is of no use.
		after => row.run === job.tasks.get(row.task)?.run?.run ? withoutEffects(after) : stopRuns(after, [row.task], 'task is done elsewhere', present.monotonic),
		after => {
			const latest = after.jobs.get(job.submission.job) ?? next;
			return isDone ? endJob(after, job.submission.job, 'completed', present) : storeJob(after, latest);
		},
	]);
}

function failTask(state: SchedulerState, {job, row, task, agent}: TaskEndOnAgent, present: Present): SchedulerTransition {
	const worker = state.workers.get(agent);
	const workerId = worker?.snapshot.worker;
	const failedRuns = task.failedRuns.includes(row.run) ? task.failedRuns : [...task.failedRuns, row.run];
	const next = withTask(job, row.task, {
		...task, failedRuns, avoided: workerId === undefined ? task.avoided : [...task.avoided, workerId],
	});
	const isOver = countFailures(next, row.task) >= queueOf(state, job).maximumAttempts;
	return chain(recordFailure(withJob(state, {...next, changedAt: present.monotonic}), agent, job.submission.job, present.monotonic), [
		after => isOver ? endJob(after, job.submission.job, 'failed', present) : storeJob(after, after.jobs.get(job.submission.job) ?? next),
		after => stopGang(after, row, present),
	]);
}

function requeueTask(state: SchedulerState, {job, row, task}: TaskEnd, present: Present): SchedulerTransition {
	const checkpoint = row.checkpoint === '' ? task.checkpoint : row.checkpoint;
	const lastPercent = Math.max(task.checkpointPercent, job.tasks.get(row.task)?.run?.percent ?? 0);
	const next = withJob(state, {
		...withTask(job, row.task, {...task, checkpoint, checkpointPercent: row.checkpoint === '' ? task.checkpointPercent : lastPercent}),
		changedAt: present.monotonic,
	});
	return stopGang(next, row, present);
}

/** The members of a gang that lost one end by themselves, but sooner if they are told. */
function stopGang(state: SchedulerState, {task}: EndedRun, {monotonic}: Present): SchedulerTransition {
	const job = state.jobs.get(parseTaskName(task).job);
	return job !== undefined && stepOf(job, task)?.isGang === true ? stopRuns(state, listStepMembers(job, task), 'a member of the gang ended', monotonic) : withoutEffects(state);
}

function clearFailures(state: SchedulerState, agent: AgentName): SchedulerState {
	const worker = state.workers.get(agent);
	return worker === undefined || worker.health.failedJobs.length === 0 ? state : withWorker(state, {...worker, health: {...worker.health, failedJobs: []}});
}

/** A worker on which several jobs fail in a row is avoided for a while; a job that fails everywhere counts once. */
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
			// One more failure is enough to avoid it again.
			: {failedJobs: failedJobs.slice(1), avoidedUntil: monotonic + avoidanceMilliseconds},
	});
}

/** Forgets the runs of a life of a worker that is certainly over. */
export function releaseIncarnation(state: SchedulerState, worker: SchedulerWorker, reason: string, present: Present): SchedulerTransition {
	let next = state;
	const lost: TaskName[] = [];
	let loss = 0;
	for (const job of state.jobs.values()) {
		for (const [name, {run}] of job.tasks) {
			if (isRunOn(run, worker)) {
				const step = stepOf(job, name);
				lost.push(name);
				loss += step === undefined ? 0 : lossOfRun(run, step, present.monotonic);
				next = releaseRun(next, name, present.monotonic);
			}
		}
	}

	const gangs = lost.flatMap(name => {
		const job = jobOf(next, name);
		return job !== undefined && stepOf(job, name)?.isGang === true ? listStepMembers(job, name) : [];
	});
	return chain(next, [
		after => ({
			state: after,
			effects: lost.length === 0
				? []
				: [{
					kind: 'log', event: 'runs-lost', fields: {
						reason, lossCoreSeconds: Math.round(loss), worker: worker.snapshot.worker, incarnation: worker.snapshot.incarnation, tasks: lost,
					},
				}],
		}),
		after => stopRuns(after, gangs, 'a member of the gang is lost', present.monotonic),
	]);
}

/** Forgets a worker whose life is certainly over. */
export function removeWorker(state: SchedulerState, worker: SchedulerWorker, reason: string, present: Present): SchedulerTransition {
	const {state: released, effects} = releaseIncarnation(state, worker, reason, present);
	const workers = new Map(released.workers);
	workers.delete(worker.agent);
	return {state: {...released, workers}, effects};
}
