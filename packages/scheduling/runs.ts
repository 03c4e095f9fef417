/** State transitions of runs and jobs: orders starts and stops, releases ended runs and ends jobs. */
import type {MonotonicTime} from '#core';
import type {JobKey, TaskName} from '#jobs';
import {findGangCheckpoint, noCheckpoint} from './checkpoints.js';
import {measureLoss} from './loss.js';
import type {Placement} from './place.js';
import {
	findWorkerOfRun, isOpen, findJob, findTask, listStepMembers, findStep, markChanged, withJob, withTask,
} from './state.js';
import {describeLoss, describeStopReason, type StopReason} from './stop-reasons.js';
import {recordUnansweredStart} from './unanswered-starts.js';
import type {
	AgentName, SchedulerEffect, SchedulerJob, SchedulerState, StartOrder, StopOrder, TaskRun, TaskState,
} from './types.js';

export type SchedulerTransition = Readonly<{state: SchedulerState; effects: readonly SchedulerEffect[]}>;

export function withoutEffects(state: SchedulerState): SchedulerTransition {
	return {state, effects: []};
}

/** Applies transitions in order and collects their effects. */
export function chain(state: SchedulerState, transitions: ReadonlyArray<(state: SchedulerState) => SchedulerTransition>): SchedulerTransition {
	let current = state;
	const effects: SchedulerEffect[] = [];
	for (const transition of transitions) {
		const result = transition(current);
		current = result.state;
		effects.push(...result.effects);
	}

	return {state: current, effects};
}

/** Orders the start of a job's placed tasks. Members of a gang share one run number. */
export function startRuns(state: SchedulerState, jobKey: JobKey, placements: readonly Placement[], monotonic: MonotonicTime): SchedulerTransition {
	const job = state.jobs.get(jobKey);
	if (job === undefined) {
		return withoutEffects(state);
	}

	const orders = new Map<AgentName, StartOrder[]>();
	const gangRun = Math.max(0, ...placements.map(({task}) => job.tasks.get(task)?.lastRun ?? 0)) + 1;
	const [firstPlacement] = placements;
	const isGang = firstPlacement !== undefined && findStep(job, firstPlacement.task)?.isGang === true;
	const gangCheckpoint = isGang ? findGangCheckpoint(job, firstPlacement.task) : noCheckpoint;
	let next = state;
	for (const {task: name, agent} of placements) {
		const task = job.tasks.get(name);
		const worker = state.workers.get(agent);
		if (task === undefined || worker === undefined) {
			continue;
		}

		const run = isGang ? gangRun : task.lastRun + 1;
		const {checkpoint, checkpointRun, checkpointPercent} = isGang ? gangCheckpoint : task;
		const {worker: workerId, incarnation} = worker.snapshot;
		next = withTask(next, name, {
			...task,
			lastRun: run,
			checkpoint,
			checkpointRun,
			checkpointPercent,
			run: {
				agent,
				incarnation: {worker: workerId, incarnation},
				run,
				stage: 'starting',
				isStartConfirmed: false,
				isStopConfirmed: false,
				orderedAt: monotonic,
				startedAt: monotonic,
				percent: 0,
				progressedAt: monotonic,
				paceBaseline: {percent: 0, at: monotonic},
			},
		});
		appendOrder(orders, agent, {task: name, run, checkpoint});
	}

	return {
		state: next,
		effects: [...orders].map(([agent, starts]) => ({
			kind: 'start', agent, incarnation: state.workers.get(agent)?.snapshot.incarnation ?? '', job: jobKey, specification: job.submission.request.specification, orders: starts,
		})),
	};
}

function appendOrder<Order>(orders: Map<AgentName, Order[]>, agent: AgentName, order: Order): void {
	const earlier = orders.get(agent);
	if (earlier === undefined) {
		orders.set(agent, [order]);
	} else {
		earlier.push(order);
	}
}

/** Orders the stop of runs and of the other members of their gangs, which cannot work alone. */
export function stopRuns(state: SchedulerState, names: readonly TaskName[], reason: StopReason, monotonic: MonotonicTime): SchedulerTransition {
	const affected = new Set(names.flatMap(name => {
		const job = findJob(state, name);
		return job !== undefined && findStep(job, name)?.isGang === true ? listStepMembers(job, name) : [name];
	}));
	let next = state;
	const orders = new Map<AgentName, StopOrder[]>();
	let loss = 0;
	for (const name of affected) {
		const job = findJob(next, name);
		const task = job?.tasks.get(name);
		const {run} = task ?? {};
		if (job === undefined || task === undefined || run === undefined || run.stage === 'stopping') {
			continue;
		}

		const worker = findWorkerOfRun(next, run);
		const step = findStep(job, name);
		loss += step === undefined ? 0 : measureLoss(run, step, monotonic);
		next = withTask(next, name, {...task, run: {...run, stage: 'stopping', orderedAt: monotonic}});
		if (worker !== undefined) {
			appendOrder(orders, worker.agent, {task: name, run: run.run});
		}
	}

	const stops = [...orders].map(([agent, stopOrders]): SchedulerEffect => ({
		kind: 'stop', agent, incarnation: next.workers.get(agent)?.snapshot.incarnation ?? '', orders: stopOrders,
	}));
	return {
		state: next,
		effects: stops.length === 0
			? []
			: [...stops, {
				kind: 'log', event: 'stop-ordered', fields: {reason: describeStopReason(reason), ...describeLoss(reason.kind, loss), tasks: [...orders.values()].flat()},
			}],
	};
}

/** Releases a run that has certainly ended, so that the task can start again, at once or when its start can no longer be carried out. */
export function releaseRun(state: SchedulerState, name: TaskName, monotonic: MonotonicTime): SchedulerState {
	const run = findTask(state, name)?.run;
	return run === undefined ? state : removeRun(recordUnansweredStart(state, name, run), name, monotonic);
}

/** Releases a run whose start was refused, and so will not be carried out. */
export function releaseRefusedRun(state: SchedulerState, name: TaskName, monotonic: MonotonicTime): SchedulerState {
	return removeRun(state, name, monotonic);
}

function removeRun(state: SchedulerState, name: TaskName, monotonic: MonotonicTime): SchedulerState {
	const task = findTask(state, name);
	return task === undefined ? state : markChanged(withTask(state, name, {...task, run: undefined, lastPercent: task.run?.percent ?? task.lastPercent}), name, monotonic);
}

/** Increments the job's version and requests that its progress is stored. */
export function storeJob(state: SchedulerState, job: SchedulerJob): SchedulerTransition {
	return {
		state: withJob(state, {...job, version: job.version + 1}),
		effects: [{kind: 'store-progress', job: job.submission.job}],
	};
}

/** Ends a job and stops its remaining runs. */
export function endJob(state: SchedulerState, jobKey: JobKey, outcome: 'completed' | 'failed' | 'cancelled', {now, monotonic}: Readonly<{now: number; monotonic: MonotonicTime}>): SchedulerTransition {
	const job = state.jobs.get(jobKey);
	if (job === undefined || !isOpen(job)) {
		return withoutEffects(state);
	}

	return chain(state, [
		next => storeJob(next, {
			...job, outcome, endedAt: now, endedAtMonotonic: monotonic,
		}),
		// The members of a completed gang end by themselves.
		next => outcome === 'completed' ? withoutEffects(next) : stopRuns(next, listRunningTasks(job), {kind: `job-${outcome}`}, monotonic),
		next => ({
			state: next,
			effects: [{kind: 'log', event: 'job-ended', fields: {job: jobKey, outcome, ageMilliseconds: now - job.submission.submittedAt}}],
		}),
	]);
}

export function listRunningTasks({tasks, counts}: SchedulerJob): readonly TaskName[] {
	return counts.running === 0 ? [] : [...tasks].flatMap(([name, {run}]) => run === undefined ? [] : [name]);
}

export type ListedRun = Readonly<{name: TaskName; task: TaskState; run: TaskRun; job: SchedulerJob}>;

/** Lists the runs beside one agent with their tasks. */
export function listRunsOf(state: SchedulerState, agent: AgentName): readonly ListedRun[] {
	const listed: ListedRun[] = [];
	for (const name of state.runs.get(agent) ?? []) {
		const job = findJob(state, name);
		const task = job?.tasks.get(name);
		if (job !== undefined && task?.run !== undefined) {
			listed.push({
				name, task, run: task.run, job,
			});
		}
	}

	return listed;
}

/** Lists all runs with their tasks. */
export function listRuns(state: SchedulerState): readonly ListedRun[] {
	return [...state.runs.keys()].flatMap(agent => listRunsOf(state, agent));
}
