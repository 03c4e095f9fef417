/**
Keeps a task from starting again while an earlier start of it may still be carried out.

A call without an answer may be carried out seconds later. The stop that a worker confirmed binds that incarnation only: a later one with the same identifier knows neither the stop nor the epoch, and would run the task beside its next run, or after its end.
*/
import type {Milliseconds, MonotonicTime} from '#core';
import {
	lateCallMilliseconds, listsOf, type TaskName, type WorkerSnapshot,
} from '#jobs';
import {maximumLeaseMilliseconds, orderDeliveryMilliseconds} from './constants.js';
import {findTask, markChanged} from './state.js';
import type {
	AgentName, SchedulerEffect, SchedulerState, TaskRun, UnansweredStart,
} from './types.js';

/** Whether an earlier start of the task may still be carried out, or run unseen; not if another worker took the place of the one that it was for. */
export function hasUnansweredStart(state: SchedulerState, task: TaskName, monotonic: MonotonicTime): boolean {
	return state.unansweredStarts.get(task)?.some(start => mayRun(state, start, monotonic)) === true;
}

function mayRun(state: SchedulerState, start: UnansweredStart, monotonic: MonotonicTime): boolean {
	return monotonic < findEndOfWait(state, start);
}

function findEndOfWait({workers, leaseUntil}: SchedulerState, {agent, worker, until}: UnansweredStart): MonotonicTime {
	const current = workers.get(agent);
	if (current !== undefined && current.snapshot.worker !== worker) {
		return -Infinity;
	}

	// A run that the start has begun is reported, or lasts as long as its lease, which only another scheduler could extend. Its end may be one that the worker does not list yet.
	if (current?.contact === 'attached') {
		return listsOf(current.snapshot).ended.kind === 'whole' ? until : Infinity;
	}

	const end = until + maximumLeaseMilliseconds;
	return leaseUntil < end ? Infinity : end;
}

/** Measures how long it takes until the next task need no longer wait for a start; infinite if none waits. */
export function measureWaitForStarts(state: SchedulerState, monotonic: MonotonicTime): Milliseconds {
	const ends = [...state.unansweredStarts.values()].flatMap(starts => starts.map(start => findEndOfWait(state, start)));
	return Math.min(...ends.filter(end => end > monotonic)) - monotonic;
}

/** Records the start of a run that is released, unless the worker has confirmed it: then it has been carried out. */
export function recordUnansweredStart(state: SchedulerState, task: TaskName, {agent, incarnation: {worker, incarnation}, run, isStartConfirmed, isStopConfirmed, startedAt}: TaskRun): SchedulerState {
	return isStartConfirmed
		? state
		: setStart(state, task, {
			agent,
			worker,
			run,
			orderedAt: startedAt,
			until: startedAt + orderDeliveryMilliseconds + lateCallMilliseconds,
			refusal: isStopConfirmed ? {kind: 'confirmed', incarnation} : {kind: 'none'},
		});
}

/**
Takes over what an agent knows of the starts that its worker has not answered.

Starts that it does not list were refused or carried out, or never reached it, if its list goes back to their orders. An agent that started again since does not know, nor whether one was carried out whose end the worker does not list yet.
*/
export function applyReportedStarts(earlier: SchedulerState, agent: AgentName, snapshot: WorkerSnapshot, monotonic: MonotonicTime): SchedulerState {
	const {worker, incarnation, unansweredStarts} = snapshot;
	const state = removeCarriedOutStarts(earlier, agent, snapshot, monotonic);
	if (unansweredStarts === undefined || (unansweredStarts.starts.length === 0 && state.unansweredStarts.size === 0)) {
		return state;
	}

	const {knownForMilliseconds, starts} = unansweredStarts;
	const isListed = (task: TaskName, {run}: UnansweredStart) => starts.some(listed => listed.task === task && listed.run === run);
	const isWhole = listsOf(snapshot).ended.kind === 'whole';
	const isSettled = (task: TaskName, start: UnansweredStart) => isWhole && start.agent === agent && start.worker === worker && !isListed(task, start)
		&& start.orderedAt > monotonic - knownForMilliseconds
		&& start.orderedAt <= monotonic - orderDeliveryMilliseconds;
	let next = removeStarts(state, isSettled, monotonic);
	for (const {task, run, remainingMilliseconds} of starts) {
		// The call of a run that is starting may just be under way.
		if (findTask(next, task)?.run?.run !== run) {
			const until = monotonic + remainingMilliseconds;
			next = setStart(next, task, {
				agent,
				worker,
				run,
				orderedAt: until - lateCallMilliseconds,
				until,
				// The agent reports an incarnation once that has confirmed the stops of the starts that it lists.
				refusal: {kind: 'confirmed', incarnation},
			});
		}
	}

	return next;
}

/** Forgets the starts whose runs the worker lists. */
function removeCarriedOutStarts(state: SchedulerState, agent: AgentName, {worker, running, ended}: WorkerSnapshot, monotonic: MonotonicTime): SchedulerState {
	const isCarriedOut = (task: TaskName, start: UnansweredStart) => start.agent === agent && start.worker === worker
		&& [...running, ...ended].some(listed => listed.task === task && listed.run === start.run);
	return state.unansweredStarts.size === 0 ? state : removeStarts(state, isCarriedOut, monotonic);
}

/** Forgets starts that can no longer be carried out. */
export function expireUnansweredStarts(state: SchedulerState, monotonic: MonotonicTime): SchedulerState {
	return removeStarts(state, (_, start) => !mayRun(state, start, monotonic) && start.until <= monotonic, monotonic);
}

/** Logs the tasks that wait from now on, so that their delay can be explained. */
export function logUnansweredStarts(earlier: SchedulerState, state: SchedulerState, monotonic: MonotonicTime): readonly SchedulerEffect[] {
	if (earlier.unansweredStarts === state.unansweredStarts) {
		return [];
	}

	return [...state.unansweredStarts]
		.filter(([task]) => isWaiting(state, task, monotonic) && !isWaiting(earlier, task, monotonic))
		.map(([task, starts]) => ({
			kind: 'log', event: 'start-unanswered', fields: {task, starts: starts.map(({worker, run, until}) => ({worker, run, remainingMilliseconds: Math.round(until - monotonic)}))},
		}));
}

function isWaiting(state: SchedulerState, name: TaskName, monotonic: MonotonicTime): boolean {
	const task = findTask(state, name);
	return task !== undefined && !task.isDone && task.run === undefined && hasUnansweredStart(state, name, monotonic);
}

/** Sets a start in place of what was known of it. */
function setStart(state: SchedulerState, task: TaskName, start: UnansweredStart): SchedulerState {
	const {agent, worker, run} = start;
	const others = (state.unansweredStarts.get(task) ?? []).filter(known => known.agent !== agent || known.worker !== worker || known.run !== run);
	return {...state, unansweredStarts: state.unansweredStarts.set(task, [...others, start])};
}

/** Replaces starts and requests a scheduling pass if there is a change. */
export function mapStarts(state: SchedulerState, change: (start: UnansweredStart, task: TaskName) => UnansweredStart): SchedulerState {
	let {unansweredStarts} = state;
	for (const [task, starts] of state.unansweredStarts) {
		const changed = starts.map(start => change(start, task));
		if (changed.some((start, index) => start !== starts[index])) {
			unansweredStarts = unansweredStarts.set(task, changed);
		}
	}

	return unansweredStarts === state.unansweredStarts ? state : {...state, unansweredStarts, isScheduleDue: true};
}

/** Removes starts; their tasks wait for a worker from now on, since until now they could not start. */
function removeStarts(state: SchedulerState, isObsolete: (task: TaskName, start: UnansweredStart) => boolean, monotonic: MonotonicTime): SchedulerState {
	let next = state;
	for (const [task, starts] of state.unansweredStarts) {
		const remaining = starts.filter(start => !isObsolete(task, start));
		if (remaining.length < starts.length) {
			const unansweredStarts = remaining.length === 0 ? next.unansweredStarts.delete(task) : next.unansweredStarts.set(task, remaining);
			next = {...markChanged({...next, unansweredStarts}, task, monotonic), isScheduleDue: true};
		}
	}

	return next;
}
