/** Handles the renewals of agents: adopts, updates and releases the runs of their workers. */
import type {Milliseconds, MonotonicTime, CurrentTime} from '#core';
import {
	isSameIncarnation, listsOf, parseJobOfTask, type ReportedRun, type WorkerSnapshot,
} from '#jobs';
import {
	grantSlackMilliseconds, grantValidityMilliseconds, slowClockFactor, unreadMilliseconds,
} from './constants.js';
import {recordCheckpoint} from './checkpoints.js';
import {noteDeparture} from './departures.js';
import {handleEnd} from './ends.js';
import {handleLostRun, releaseIncarnation} from './incarnations.js';
import {limitLateAcknowledgements, logBarredWorker, recordLateAcknowledgements} from './late-acknowledgements.js';
import {refuseLateStarts} from './late-starts.js';
import {handleMissingRuns} from './missing-runs.js';
import {openForReport} from './occurrences.js';
import {estimateSlowdown} from './remaining.js';
import {
	chain, listRunsOf, withoutEffects, type SchedulerTransition,
} from './runs.js';
import {
	isOpen, isRunOn, findJob, findTask, replaceJob, replaceTask, replaceWorker, findStep, withJob, withTask, withWorker,
} from './state.js';
import {applyReportedStarts} from './unanswered-starts.js';
import type {
	AgentName, AgentReport, SchedulerJob, SchedulerMessage, SchedulerState, SchedulerWorker, StopOrder, TaskState,
} from './types.js';

/** Latest time at which runs that an agent kept alive can end, counted from its last grant. */
export function latestEndOfRuns(grantedAt: MonotonicTime): MonotonicTime {
	return grantedAt + (grantValidityMilliseconds * slowClockFactor) + grantSlackMilliseconds;
}

export function handleRenewal(state: SchedulerState, {agent, process, snapshot}: Extract<SchedulerMessage, {kind: 'renewed'}>, time: CurrentTime): SchedulerTransition {
	// An agent that has started again knows no worker until that announces itself, which a lost one never does.
	if (snapshot === undefined) {
		return handleDetached(state, agent);
	}

	const worker = state.workers.get(agent);
	const isKnown = worker !== undefined && isSameIncarnation(worker.snapshot, snapshot);
	const isReplaced = worker !== undefined && !isKnown;
	return chain(state, [
		next => isReplaced ? replaceIncarnation(next, worker, snapshot, time) : withoutEffects(next),
		next => withoutEffects(withSnapshot(next, agent, {snapshot, process}, time.monotonic)),
		next => isKnown && worker.process === process ? withoutEffects(next) : {state: next, effects: logBarredWorker(next, agent, time.monotonic)},
		next => applySnapshot(next, agent, {snapshot, isKnown}, time),
		// Runs that the report releases are compared with the starts that it lists.
		next => withoutEffects(applyReportedStarts(next, agent, snapshot, time.monotonic)),
		next => refuseLateStarts(next, agent, snapshot, time.monotonic),
	]);
}

/** Handles the ends and runs that a worker listed with its latest snapshot. */
export function applySnapshot(state: SchedulerState, agent: AgentName, {snapshot, isKnown}: Readonly<{snapshot: WorkerSnapshot; isKnown: boolean}>, time: CurrentTime): SchedulerTransition {
	const worker = state.workers.get(agent);
	return chain(state, [
		// Ends are handled only after the stored jobs are loaded, so that none is acknowledged without being recorded.
		...(state.isLoaded ? snapshot.ended : []).map(end => (next: SchedulerState) => handleEnd(next, agent, end, time)),
		...(state.isLoaded ? snapshot.lost : []).map(lost => (next: SchedulerState) => handleLostRun(next, lost, time)),
		next => snapshot.isLeaseOver && isKnown && worker !== undefined ? releaseIncarnation(next, worker, 'worker-silent', time) : reconcile(next, agent, snapshot, time),
	]);
}

/** Whether the room for tasks on the worker may have changed. */
function hasCapacityChanged({contact, snapshot: earlier}: SchedulerWorker, snapshot: WorkerSnapshot): boolean {
	return contact === 'lost'
		|| earlier.state !== snapshot.state
		|| earlier.isResponsive !== snapshot.isResponsive
		|| earlier.capacity.processorMillicores !== snapshot.capacity.processorMillicores
		|| earlier.capacity.memoryMegabytes !== snapshot.capacity.memoryMegabytes
		|| earlier.capacity.accelerators !== snapshot.capacity.accelerators
		|| earlier.running.length !== snapshot.running.length;
}

/** Releases the earlier incarnation of a worker. Runs that the new one already lists, or may still start, move to it. */
function replaceIncarnation(state: SchedulerState, earlier: SchedulerWorker, snapshot: WorkerSnapshot, time: CurrentTime): SchedulerTransition {
	let next = noteDeparture(state, earlier.agent, time.monotonic);
	for (const reported of snapshot.running) {
		const task = findTask(next, reported.task);
		if (task !== undefined && isRunOn(task.run, earlier) && task.run.run === reported.run) {
			next = withTask(next, reported.task, {...task, run: {...task.run, incarnation: {worker: snapshot.worker, incarnation: snapshot.incarnation}}});
		}
	}

	// A start without an answer may still be carried out, also by the next incarnation of the identifier, which has to refuse it before the task starts elsewhere.
	const orders: StopOrder[] = [];
	const lost: StopOrder[] = [];
	for (const {name, task, run} of earlier.snapshot.worker === snapshot.worker ? listRunsOf(next, earlier.agent) : []) {
		if (isRunOn(run, earlier) && run.stage !== 'running') {
			const incarnation = {worker: snapshot.worker, incarnation: snapshot.incarnation};
			next = withTask(next, name, {
				...task,
				run: {
					...run, incarnation, stage: 'stopping', isStopConfirmed: false, orderedAt: time.monotonic,
				},
			});
			orders.push({task: name, run: run.run});
			if (earlier.snapshot.state === 'ready' && run.percent === 0 && run.isStartConfirmed && !run.isStopConfirmed) {
				lost.push({task: name, run: run.run});
			}
		}
	}

	return chain(next, [
		after => releaseIncarnation(after, earlier, 'worker-restarted', time),
		...lost.map(run => (after: SchedulerState) => handleLostRun(after, run, time)),
		after => ({
			state: after,
			effects: orders.length === 0
				? []
				: [{
					kind: 'stop', agent: earlier.agent, incarnation: snapshot.incarnation, orders,
				}],
		}),
	]);
}

function withSnapshot(state: SchedulerState, agent: AgentName, reported: AgentReport, monotonic: MonotonicTime): SchedulerState {
	const {process, snapshot} = reported;
	const worker = state.workers.get(agent);
	const isSame = worker !== undefined && isSameIncarnation(worker.snapshot, snapshot);
	const recorded = worker === undefined || (isSame && worker.process === process) ? state : recordLateAcknowledgements(state, worker, monotonic);
	const withoutUnread = {...limitLateAcknowledgements(recorded, agent, reported, monotonic), unread: updateUnread(state, agent, {snapshot, isSame}, monotonic)};
	if (isSame) {
		const next: SchedulerWorker = {
			...worker, snapshot, process, contact: 'attached', grantedAt: monotonic,
		};
		// Agents report twice a second, mostly without changes, which need no scheduling pass.
		const noted = worker.snapshot.state === 'ready' && snapshot.state === 'draining' ? noteDeparture(withoutUnread, agent, monotonic) : withoutUnread;
		return hasCapacityChanged(worker, snapshot) ? withWorker(noted, next) : replaceWorker(noted, next);
	}

	return withWorker(withoutUnread, {
		agent,
		snapshot,
		process,
		contact: 'attached',
		grantedAt: monotonic,
		health: worker?.snapshot.worker === snapshot.worker ? worker.health : {failedJobs: [], avoidedUntil: 0},
		handledEnd: 0,
		notedEnd: 0,
		pendingEnds: [],
	});
}

/** A worker counts as read once it has listed all its ends: the others may be those of tasks that an earlier scheduler started. */
function updateUnread({unread}: SchedulerState, agent: AgentName, {snapshot, isSame}: Readonly<{snapshot: WorkerSnapshot; isSame: boolean}>, monotonic: MonotonicTime): SchedulerState['unread'] {
	switch (listsOf(snapshot).ended.kind) {
		case 'whole': {
			return unread.delete(agent);
		}

		case 'cut': {
			return isSame && !unread.has(agent) ? unread : unread.set(agent, {worker: snapshot.worker, until: monotonic + unreadMilliseconds});
		}
	}
}

/** Reconciles the runs that a worker lists with those that were ordered there. */
function reconcile(state: SchedulerState, agent: AgentName, snapshot: WorkerSnapshot, time: CurrentTime): SchedulerTransition {
	if (!state.isLoaded) {
		return withoutEffects(state);
	}

	return chain(state, [
		...snapshot.running.map(reported => (next: SchedulerState) => reconcileRun(openForReport(next, reported.task), agent, reported, time)),
		next => withoutEffects(updateSlowdowns(next, snapshot.running)),
		next => handleMissingRuns(next, agent, snapshot, time),
	]);
}

function reconcileRun(state: SchedulerState, agent: AgentName, reported: ReportedRun, time: CurrentTime): SchedulerTransition {
	const worker = state.workers.get(agent);
	const job = findJob(state, reported.task);
	const task = job?.tasks.get(reported.task);
	if (worker === undefined) {
		return withoutEffects(state);
	}

	if (job !== undefined && task?.isDone === true && isRunOn(task.run, worker) && task.run.run === reported.run) {
		// Another member completed the gang; this one ends by itself.
		return withoutEffects(state);
	}

	if (job === undefined || task === undefined || !isOpen(job) || task.isDone) {
		return stopReportedRun(state, worker, reported, 'task is not expected to run');
	}

	if (task.run === undefined) {
		const incarnation = {worker: worker.snapshot.worker, incarnation: worker.snapshot.incarnation};
		return {
			state: withTask(state, reported.task, {
				...recordCheckpoint(task, {checkpoint: reported.checkpoint, checkpointRun: reported.run, checkpointPercent: reported.percent}),
				lastRun: Math.max(task.lastRun, reported.run),
				run: {
					agent,
					incarnation,
					run: reported.run,
					stage: 'running',
					isStartConfirmed: true,
					isStopConfirmed: false,
					orderedAt: time.monotonic,
					startedAt: time.monotonic - estimateElapsed(job, reported),
					percent: reported.percent,
					progressedAt: time.monotonic,
					paceBaseline: {percent: reported.percent, at: time.monotonic},
				},
			}),
			effects: [{kind: 'log', event: 'run-adopted', fields: {task: reported.task, run: reported.run, worker: worker.snapshot.worker}}],
		};
	}

	return isRunOn(task.run, worker) && task.run.run === reported.run
		? withoutEffects(withProgress(state, task, reported, time.monotonic))
		: stopReportedRun(state, worker, reported, 'task runs elsewhere');
}

/** Estimates the age of a run from its progress and the caller's estimate, since an earlier scheduler ordered its start. */
function estimateElapsed(job: SchedulerJob, {task, percent}: ReportedRun): Milliseconds {
	return (findStep(job, task)?.estimatedMilliseconds ?? 0) * percent / 100;
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

function withProgress(state: SchedulerState, task: TaskState, reported: ReportedRun, monotonic: MonotonicTime): SchedulerState {
	const {run} = task;
	const hasCheckpoint = reported.checkpoint !== '' && reported.checkpoint !== task.checkpoint;
	if (run === undefined || (run.isStartConfirmed && run.stage !== 'starting' && reported.percent <= run.percent && !hasCheckpoint)) {
		return state;
	}

	const hasProgress = reported.percent > run.percent;
	const isResumed = run.percent === 0 && task.checkpoint !== '' && hasProgress;
	return replaceTask(state, reported.task, {
		...recordCheckpoint(task, {checkpoint: reported.checkpoint, checkpointRun: reported.run, checkpointPercent: reported.percent}),
		run: {
			...run,
			stage: run.stage === 'starting' ? 'running' : run.stage,
			isStartConfirmed: true,
			percent: Math.max(run.percent, reported.percent),
			progressedAt: hasProgress ? monotonic : run.progressedAt,
			paceBaseline: isResumed ? {percent: reported.percent, at: monotonic} : run.paceBaseline,
		},
	});
}

/** Estimates the slowdown of each job of which the worker reports runs, once for all its runs there. */
function updateSlowdowns(state: SchedulerState, running: readonly ReportedRun[]): SchedulerState {
	let next = state;
	for (const key of new Set(running.map(({task}) => parseJobOfTask(task)))) {
		const job = next.jobs.get(key);
		const slowdown = job === undefined ? undefined : estimateSlowdown(job);
		if (job !== undefined && slowdown !== job.slowdown) {
			// The first estimate for a job allows more of its tasks to start.
			next = job.slowdown === undefined ? withJob(next, {...job, slowdown}) : replaceJob(next, {...job, slowdown});
		}
	}

	return next;
}

/** The agent is not connected, or reports no worker. The runs may go on until the last grant is over. */
export function handleDetached(state: SchedulerState, agent: AgentName): SchedulerTransition {
	const worker = state.workers.get(agent);
	return withoutEffects(worker === undefined || worker.contact === 'lost' ? state : withWorker(state, {...worker, contact: 'lost'}));
}
