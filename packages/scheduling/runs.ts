/** Changes to runs: ordering starts and stops, and releasing what is certainly over. */
import type {MonotonicTime} from '#core';
import type {JobKey, TaskName} from '#jobs';
import {lossOfRun} from './loss.js';
import type {Placement} from './place.js';
import {
	findWorkerOfRun, isOpen, jobOf, listStepMembers, stepOf, withJob, withTask,
} from './state.js';
import type {
	AgentName, SchedulerEffect, SchedulerJob, SchedulerState, StopOrder, TaskRun,
} from './types.js';

export type SchedulerTransition = Readonly<{state: SchedulerState; effects: readonly SchedulerEffect[]}>;

export function withoutEffects(state: SchedulerState): SchedulerTransition {
	return {state, effects: []};
}

/** Applies decisions one after the other and collects their effects. */
export function chain(state: SchedulerState, decisions: ReadonlyArray<(state: SchedulerState) => SchedulerTransition>): SchedulerTransition {
	let present = state;
	const effects: SchedulerEffect[] = [];
	for (const decide of decisions) {
		const step = decide(present);
		present = step.state;
		effects.push(...step.effects);
	}

	return {state: present, effects};
}

/** Orders the start of placed tasks of one job. Members of a gang share one run number. */
export function startRuns(state: SchedulerState, jobKey: JobKey, placements: readonly Placement[], monotonic: MonotonicTime): SchedulerTransition {
	let job = state.jobs.get(jobKey);
	const orders = new Map<AgentName, Array<Readonly<{task: TaskName; run: number; checkpoint: string}>>>();
	if (job === undefined) {
		return withoutEffects(state);
	}

	const present = job;
	const gangRun = Math.max(0, ...placements.map(({task}) => present.tasks.get(task)?.lastRun ?? 0)) + 1;
	for (const {task: name, agent} of placements) {
		const task = job.tasks.get(name);
		const worker = state.workers.get(agent);
		if (task === undefined || worker === undefined) {
			continue;
		}

		const isGang = stepOf(job, name)?.isGang === true;
		const run = isGang ? gangRun : task.lastRun + 1;
		const checkpoint = isGang ? latestCheckpoint(present, name) : task.checkpoint;
		const {worker: workerId, incarnation} = worker.snapshot;
		job = withTask(job, name, {
			...task,
			lastRun: run,
			checkpoint,
			run: {
				incarnation: {worker: workerId, incarnation},
				run,
				stage: 'starting',
				isStopConfirmed: false,
				orderedAt: monotonic,
				startedAt: monotonic,
				percent: 0,
				progressedAt: monotonic,
				paceFrom: {percent: 0, at: monotonic},
			},
		});
		orders.set(agent, [...(orders.get(agent) ?? []), {task: name, run, checkpoint}]);
	}

	return {
		state: withJob(state, job),
		effects: [...orders].map(([agent, starts]) => ({
			kind: 'start', agent, incarnation: state.workers.get(agent)?.snapshot.incarnation ?? '', job: jobKey, specification: present.submission.request.specification, orders: starts,
		})),
	};
}

/** The checkpoint of any member serves the whole gang, and all have to start from the same. */
function latestCheckpoint(job: SchedulerJob, task: TaskName): string {
	const members = listStepMembers(job, task).flatMap(name => job.tasks.get(name) ?? []);
	return members.toSorted((first, second) => second.checkpointPercent - first.checkpointPercent).find(({checkpoint}) => checkpoint !== '')?.checkpoint ?? '';
}

/** Orders the stop of runs; the other members of a gang are stopped with it, since they cannot work alone. */
export function stopRuns(state: SchedulerState, names: readonly TaskName[], reason: string, monotonic: MonotonicTime): SchedulerTransition {
	const all = new Set(names.flatMap(name => {
		const job = jobOf(state, name);
		return job !== undefined && stepOf(job, name)?.isGang === true ? listStepMembers(job, name) : [name];
	}));
	let next = state;
	const orders = new Map<AgentName, StopOrder[]>();
	let loss = 0;
	for (const name of all) {
		const job = jobOf(next, name);
		const task = job?.tasks.get(name);
		const {run} = task ?? {};
		if (job === undefined || task === undefined || run === undefined || run.stage === 'stopping') {
			continue;
		}

		const worker = findWorkerOfRun(next, run);
		const step = stepOf(job, name);
		loss += step === undefined ? 0 : lossOfRun(run, step, monotonic);
		next = withJob(next, withTask(job, name, {...task, run: {...run, stage: 'stopping', orderedAt: monotonic}}));
		if (worker !== undefined) {
			orders.set(worker.agent, [...(orders.get(worker.agent) ?? []), {task: name, run: run.run}]);
		}
	}

	const stops = [...orders].map(([agent, stopOrders]): SchedulerEffect => ({
		kind: 'stop', agent, incarnation: next.workers.get(agent)?.snapshot.incarnation ?? '', orders: stopOrders,
	}));
	return {
		state: next,
		effects: stops.length === 0 ? [] : [...stops, {kind: 'log', event: 'stop-ordered', fields: {reason, lossCoreSeconds: Math.round(loss), tasks: [...orders.values()].flat()}}],
	};
}

/** Forgets a run that is certainly over and lets the task start again. */
export function releaseRun(state: SchedulerState, name: TaskName, monotonic: MonotonicTime): SchedulerState {
	const job = jobOf(state, name);
	const task = job?.tasks.get(name);
	return job === undefined || task === undefined
		? state
		: withJob(state, {...withTask(job, name, {...task, run: undefined}), changedAt: monotonic});
}

/** Marks a job as changed, so that its progress is stored. */
export function storeJob(state: SchedulerState, job: SchedulerJob): SchedulerTransition {
	return {
		state: withJob(state, {...job, version: job.version + 1}),
		effects: [{kind: 'store-progress', job: job.submission.job}],
	};
}

/** Ends a job and stops what still runs of it. */
export function endJob(state: SchedulerState, jobKey: JobKey, outcome: 'completed' | 'failed' | 'cancelled', {now, monotonic}: Readonly<{now: number; monotonic: MonotonicTime}>): SchedulerTransition {
	const job = state.jobs.get(jobKey);
	if (job === undefined || !isOpen(job)) {
		return withoutEffects(state);
	}

	return chain(state, [
		present => storeJob(present, {
			...job, outcome, endedAt: now, endedAtMonotonic: monotonic,
		}),
		// The members of a gang that is done end by themselves.
		present => outcome === 'completed' ? withoutEffects(present) : stopRuns(present, listRunningTasks(job), `job ${outcome}`, monotonic),
		present => ({
			state: present,
			effects: [{kind: 'log', event: 'job-ended', fields: {job: jobKey, outcome, ageMilliseconds: now - job.submission.submittedAt}}],
		}),
	]);
}

export function listRunningTasks(job: SchedulerJob): readonly TaskName[] {
	return [...job.tasks].flatMap(([name, {run}]) => run === undefined ? [] : [name]);
}

/** Runs of all jobs, with their tasks. */
export function listRuns(state: SchedulerState): ReadonlyArray<Readonly<{name: TaskName; run: TaskRun; job: SchedulerJob}>> {
	return [...state.jobs.values()].flatMap(job => [...job.tasks].flatMap(([name, {run}]) => run === undefined ? [] : [{name, run, job}]));
}
