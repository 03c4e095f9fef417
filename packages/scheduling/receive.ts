import {Map as PersistentMap} from 'immutable';
import {assertNever, type CurrentTime} from '#core';
import {isNewerConfiguration, listsOf} from '#jobs';
import {handleZones} from './closed-zones.js';
import {unreadMilliseconds} from './constants.js';
import {handleStartAnswers, handleStopAnswers} from './order-answers.js';
import {advanceNotedEnd} from './ends.js';
import {handleIncarnationEnd} from './incarnations.js';
import {applySnapshot, handleDetached, handleRenewal} from './reports.js';
import {
	chain, endJob, withoutEffects, type SchedulerTransition,
} from './runs.js';
import {schedule} from './schedule.js';
import {createJob} from './occurrences.js';
import {replaceWorker, withJob} from './state.js';
import {handleTick} from './tick.js';
import {logUnansweredStarts} from './unanswered-starts.js';
import type {
	AgentName, LoadedJob, SchedulerMessage, SchedulerState, UnreadWorker,
} from './types.js';

/**
Applies a message to the scheduler's state and returns the new state with its effects.

A change that may allow a task to start requests a scheduling pass, which is a message of its own: changes that arrive meanwhile share it, and renewals are not delayed by it.

@example
```
const {state: next, effects} = receiveSchedulerMessage(state, {kind: 'submitted', submission}, {now, monotonic});
```
*/
export function receiveSchedulerMessage(state: SchedulerState, message: SchedulerMessage, time: CurrentTime): SchedulerTransition {
	const handled = handleMessage(state, message, time);
	const effects = [...handled.effects, ...logUnansweredStarts(state, handled.state, time.monotonic)];
	return {
		state: handled.state,
		effects: handled.state.isScheduleDue && (!state.isScheduleDue || message.kind === 'pass') ? [...effects, {kind: 'request-pass'}] : effects,
	};
}

function handleMessage(state: SchedulerState, message: SchedulerMessage, time: CurrentTime): SchedulerTransition {
	switch (message.kind) {
		case 'configured': {
			return withoutEffects(isNewerConfiguration(message.configuration, state.configuration)
				? {...state, configuration: message.configuration, isScheduleDue: true}
				: state);
		}

		case 'loaded': {
			return load(state, message, time);
		}

		case 'zones-observed': {
			return handleZones(state, message.zones);
		}

		case 'submitted': {
			const {job} = message.submission;
			return withoutEffects(state.jobs.has(job)
				? state
				: withJob(state, createJob(message.submission, {progress: undefined, keyVersion: 0}, {monotonic: time.monotonic, isInherited: false})));
		}

		case 'cancelled': {
			return endJob(state, message.job, 'cancelled', time);
		}

		case 'renewed': {
			return handleRenewal(state, message, time);
		}

		case 'incarnation-ended': {
			return handleIncarnationEnd(state, message, time);
		}

		case 'detached': {
			return handleDetached(state, message.agent);
		}

		case 'start-answered': {
			return handleStartAnswers(state, message.agent, message.answers, time);
		}

		case 'stop-answered': {
			return handleStopAnswers(state, message);
		}

		case 'stored': {
			return handleStored(state, message);
		}

		case 'tick': {
			return handleTick(state, time);
		}

		case 'lease-confirmed': {
			return withoutEffects({...state, leaseUntil: message.until});
		}

		case 'pass': {
			return schedule(state, time);
		}

		default: {
			return assertNever(message);
		}
	}
}

/** Restores the stored jobs. Workers that are not attached may still run tasks of an earlier scheduler. */
function load(state: SchedulerState, {jobs, workers}: Extract<SchedulerMessage, {kind: 'loaded'}>, time: CurrentTime): SchedulerTransition {
	let next: SchedulerState = {...state, isLoaded: true, isScheduleDue: true};
	for (const loaded of jobs) {
		next = withJob(next, restore(loaded, time));
	}

	const unread = workers
		.filter(({agent}) => !hasListedAllEnds(state, agent))
		.map(({agent, worker}): [AgentName, UnreadWorker] => [agent, {worker, until: time.monotonic + unreadMilliseconds}]);
	next = {...next, unread: PersistentMap(unread), deferredIncarnationEnds: []};
	return chain(next, [
		// Reprocesses what workers listed before the jobs were loaded; this is no new contact with them.
		...[...state.workers.values()].map(worker => (after: SchedulerState) => applySnapshot(replaceWorker(after, {
			...worker, handledEnd: 0, notedEnd: 0, pendingEnds: [],
		}), worker.agent, {snapshot: worker.snapshot, isKnown: true}, time)),
		...state.deferredIncarnationEnds.map(end => (after: SchedulerState) => handleIncarnationEnd(after, end, time)),
		...jobs.filter(({isCancelled}) => isCancelled).map(({submission: {job}}) => (after: SchedulerState) => endJob(after, job, 'cancelled', time)),
	]);
}

function hasListedAllEnds({workers}: SchedulerState, agent: AgentName): boolean {
	const worker = workers.get(agent);
	return worker !== undefined && listsOf(worker.snapshot).ended.kind === 'whole';
}

function restore({submission, progress, keyVersion}: LoadedJob, {monotonic}: CurrentTime) {
	return createJob(submission, {progress, keyVersion}, {monotonic, isInherited: true});
}

function handleStored(state: SchedulerState, {job: key, version, keyVersion}: Extract<SchedulerMessage, {kind: 'stored'}>): SchedulerTransition {
	const job = state.jobs.get(key);
	if (job === undefined) {
		return withoutEffects(state);
	}

	const stored = withJob(state, {...job, storedVersion: Math.max(job.storedVersion, version), keyVersion});
	return chain(stored, [...stored.unacknowledged].map(agent => next => advanceNotedEnd(next, agent)));
}
