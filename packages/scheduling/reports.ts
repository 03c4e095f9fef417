/** What the renewals of agents change: which runs are there, which ended, which are lost. */
import type {Milliseconds, MonotonicTime, Present} from '#core';
import {
	isSameIncarnation, type ReportedRun, type WorkerIncarnation, type WorkerSnapshot,
} from '#jobs';
import {
	grantSlackMilliseconds, grantValidityMilliseconds, slowClockFactor,
} from './constants.js';
import {removeWorker, handleEnd, releaseIncarnation} from './ends.js';
import {estimateSlowdown} from './remaining.js';
import {
	chain, releaseRun, stopRuns, withoutEffects, type SchedulerTransition,
} from './runs.js';
import {
	isOpen, isRunOn, jobOf, replaceJob, replaceWorker, stepOf, withJob, withTask, withWorker,
} from './state.js';
import type {
	AgentName, SchedulerJob, SchedulerState, SchedulerWorker, TaskState,
} from './types.js';

/** When everything that an agent kept alive is certainly over, counted from its last renewal. */
export function latestEndOfRuns(grantedAt: MonotonicTime): MonotonicTime {
	return grantedAt + (grantValidityMilliseconds * slowClockFactor) + grantSlackMilliseconds;
}

export function handleRenewal(state: SchedulerState, agent: AgentName, snapshot: WorkerSnapshot | undefined, present: Present): SchedulerTransition {
	const worker = state.workers.get(agent);
	if (snapshot === undefined) {
		return withoutEffects(worker === undefined
			? state
			: replaceWorker(state, {...worker, contact: {kind: 'attached'}, grantedAt: present.monotonic}));
	}

	const isKnown = worker !== undefined && isSameIncarnation(worker.snapshot, snapshot);
	const isReplaced = worker !== undefined && !isKnown;
	return chain(state, [
		next => isReplaced ? replaceIncarnation(next, worker, snapshot, present) : withoutEffects(next),
		next => withoutEffects(withSnapshot(next, agent, snapshot, present.monotonic)),
		// Ends are handled once the stored jobs are known, so that none is acknowledged without being kept.
		...(state.isLoaded ? snapshot.ended : []).map(row => (next: SchedulerState) => handleEnd(next, agent, row, present)),
		next => snapshot.isLeaseOver && isKnown ? releaseIncarnation(next, worker, 'worker is silent and its lease is over', present) : reconcile(next, agent, snapshot, present),
	]);
}

/** Whether tasks may fit that did not before, or no longer fit. */
function hasCapacityChanged({contact, snapshot: earlier}: SchedulerWorker, snapshot: WorkerSnapshot): boolean {
	return contact.kind === 'lost'
		|| earlier.state !== snapshot.state
		|| earlier.isResponsive !== snapshot.isResponsive
		|| earlier.running.length !== snapshot.running.length;
}

/** A new life of a worker ends the earlier one. Runs that the new one lists already are kept. */
function replaceIncarnation(state: SchedulerState, earlier: SchedulerWorker, snapshot: WorkerSnapshot, present: Present): SchedulerTransition {
	let next = state;
	for (const row of snapshot.running) {
		const job = jobOf(next, row.task);
		const task = job?.tasks.get(row.task);
		if (job !== undefined && task !== undefined && isRunOn(task.run, earlier) && task.run.run === row.run) {
			const life = {worker: snapshot.worker, incarnation: snapshot.incarnation};
			next = withJob(next, withTask(job, row.task, {...task, run: {...task.run, incarnation: life}}));
		}
	}

	return releaseIncarnation(next, earlier, 'worker started again', present);
}

function withSnapshot(state: SchedulerState, agent: AgentName, snapshot: WorkerSnapshot, monotonic: MonotonicTime): SchedulerState {
	const worker = state.workers.get(agent);
	const unread = new Map(state.unread);
	unread.delete(agent);
	const read = {...state, unread};
	if (worker !== undefined && isSameIncarnation(worker.snapshot, snapshot)) {
		const next: SchedulerWorker = {
			...worker, snapshot, contact: {kind: 'attached'}, grantedAt: monotonic,
		};
		// Agents report twice a second, mostly without news.
		return hasCapacityChanged(worker, snapshot) ? withWorker(read, next) : replaceWorker(read, next);
	}

	return withWorker(read, {
		agent,
		snapshot,
		contact: {kind: 'attached'},
		grantedAt: monotonic,
		health: worker?.snapshot.worker === snapshot.worker ? worker.health : {failedJobs: [], avoidedUntil: 0},
		handledEnd: 0,
		notedEnd: 0,
		pendingEnds: [],
	});
}

/** Compares the runs that a worker lists with those that were ordered there. */
function reconcile(state: SchedulerState, agent: AgentName, snapshot: WorkerSnapshot, present: Present): SchedulerTransition {
	if (!state.isLoaded) {
		return withoutEffects(state);
	}

	const listed = new Set(snapshot.running.map(({task, run}) => `${task} ${run}`));
	return chain(state, [
		...snapshot.running.map(row => (next: SchedulerState) => reconcileRun(next, agent, row, present)),
		next => releaseMissing(next, agent, listed, present),
	]);
}

function reconcileRun(state: SchedulerState, agent: AgentName, row: ReportedRun, present: Present): SchedulerTransition {
	const worker = state.workers.get(agent);
	const job = jobOf(state, row.task);
	const task = job?.tasks.get(row.task);
	if (worker === undefined) {
		return withoutEffects(state);
	}

	if (job !== undefined && task?.isDone === true && isRunOn(task.run, worker) && task.run.run === row.run) {
		// Another member of the gang was done; this one ends by itself.
		return withoutEffects(state);
	}

	if (job === undefined || task === undefined || !isOpen(job) || task.isDone) {
		return stopReportedRun(state, worker, row, 'task is not wanted');
	}

	if (task.run === undefined) {
		const life = {worker: worker.snapshot.worker, incarnation: worker.snapshot.incarnation};
		return {
			state: withJob(state, withTask(job, row.task, {
				...task,
				lastRun: Math.max(task.lastRun, row.run),
				run: {
					incarnation: life,
					run: row.run,
					stage: 'running',
					isStopConfirmed: false,
					orderedAt: present.monotonic,
					startedAt: present.monotonic - estimateElapsed(job, row),
					percent: row.percent,
					progressedAt: present.monotonic,
					paceFrom: {percent: row.percent, at: present.monotonic},
				},
			})),
			effects: [{kind: 'log', event: 'run-adopted', fields: {task: row.task, run: row.run, worker: worker.snapshot.worker}}],
		};
	}

	return isRunOn(task.run, worker) && task.run.run === row.run
		? withoutEffects(withProgress(state, {job, task, row}, present.monotonic))
		: stopReportedRun(state, worker, row, 'task runs elsewhere');
}

/** How long a run has worked by its progress and the caller's estimate, since its start was ordered by an earlier scheduler. */
function estimateElapsed(job: SchedulerJob, {task, percent}: ReportedRun): Milliseconds {
	return (stepOf(job, task)?.estimatedMilliseconds ?? 0) * percent / 100;
}

function stopReportedRun(state: SchedulerState, worker: SchedulerWorker, {task, run}: ReportedRun, reason: string): SchedulerTransition {
	return {
		state,
		effects: [
			{
				kind: 'stop', agent: worker.agent, incarnation: worker.snapshot.incarnation, orders: [{task, run}],
			},
			{kind: 'log', event: 'stop-ordered', fields: {reason, tasks: [{task, run}]}},
		],
	};
}

function withProgress(state: SchedulerState, {job, task, row}: Readonly<{job: SchedulerJob; task: TaskState; row: ReportedRun}>, monotonic: MonotonicTime): SchedulerState {
	const {run} = task;
	if (run === undefined) {
		return state;
	}

	const hasProgress = row.percent > run.percent;
	const isResumed = run.percent === 0 && task.checkpoint !== '' && hasProgress;
	const next = withTask(job, row.task, {
		...task,
		...(row.checkpoint === '' ? {} : {checkpoint: row.checkpoint, checkpointPercent: row.percent}),
		run: {
			...run,
			stage: run.stage === 'starting' ? 'running' : run.stage,
			percent: Math.max(run.percent, row.percent),
			progressedAt: hasProgress ? monotonic : run.progressedAt,
			paceFrom: isResumed ? {percent: row.percent, at: monotonic} : run.paceFrom,
		},
	});
	const measured = hasProgress ? {...next, slowness: estimateSlowdown(next)} : next;
	// The first pace of a job lets more of its tasks start.
	return job.slowness === undefined ? withJob(state, measured) : replaceJob(state, measured);
}

/** Handles ordered runs that the worker neither lists as running nor as ended. */
function releaseMissing(state: SchedulerState, agent: AgentName, listed: ReadonlySet<string>, present: Present): SchedulerTransition {
	const worker = state.workers.get(agent);
	if (worker === undefined) {
		return withoutEffects(state);
	}

	const decisions: Array<(next: SchedulerState) => SchedulerTransition> = [];
	for (const job of state.jobs.values()) {
		for (const [name, {run}] of job.tasks) {
			if (!isRunOn(run, worker) || listed.has(`${name} ${run.run}`)) {
				continue;
			}

			switch (run.stage) {
				case 'starting': {
					break;
				}

				case 'running': {
					decisions.push(next => stopRuns(next, [name], 'run vanished from its worker', present.monotonic));
					break;
				}

				case 'stopping': {
					if (run.isStopConfirmed) {
						decisions.push(next => withoutEffects(releaseRun(next, name, present.monotonic)));
					}
				}
			}
		}
	}

	return chain(state, decisions);
}

export function handleDeparture(state: SchedulerState, agent: AgentName, life: WorkerIncarnation, present: Present): SchedulerTransition {
	const worker = state.workers.get(agent);
	if (worker === undefined || !isSameIncarnation(worker.snapshot, life)) {
		return withoutEffects(state);
	}

	return removeWorker(state, worker, 'worker left', present);
}

/** The agent goes on by itself for as long as its last grant lasts. */
export function handleDetached(state: SchedulerState, agent: AgentName): SchedulerTransition {
	const worker = state.workers.get(agent);
	return withoutEffects(worker === undefined || worker.contact.kind === 'lost'
		? state
		: withWorker(state, {...worker, contact: {kind: 'lost', runsUntil: latestEndOfRuns(worker.grantedAt)}}));
}
