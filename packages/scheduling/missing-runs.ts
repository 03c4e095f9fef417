/** Compares the runs that were ordered with those that a worker lists. */
import {assertNever, type CurrentTime, type MonotonicTime} from '#core';
import {
	indexLists, listsOf, type TaskName, type WorkerSnapshot,
} from '#jobs';
import {
	chain, listRunsOf, releaseRun, stopRuns, withoutEffects, type SchedulerTransition,
} from './runs.js';
import {isRunOn} from './state.js';
import type {AgentName, SchedulerState, TaskRun} from './types.js';

/** Handles ordered runs that the worker lists neither as running nor as ended. */
export function handleMissingRuns(state: SchedulerState, agent: AgentName, snapshot: WorkerSnapshot, time: CurrentTime): SchedulerTransition {
	const worker = state.workers.get(agent);
	if (worker === undefined) {
		return withoutEffects(state);
	}

	const findListing = indexLists(listsOf(snapshot));
	return chain(state, listRunsOf(state, agent).filter(({run}) => isRunOn(run, worker)).map(({name, run}) => next => {
		const listing = findListing(name, run.run);
		switch (listing) {
			// An end that is listed was handled before, with the release of the run.
			case 'absent':
			case 'ended': {
				return handleMissingRun(next, name, run, time.monotonic);
			}

			// The run may have ended, and its task would run again although it is done. The next list that is whole decides.
			case 'unknown':
			case 'running': {
				return withoutEffects(next);
			}

			default: {
				return assertNever(listing);
			}
		}
	}));
}

function handleMissingRun(state: SchedulerState, name: TaskName, {stage, isStopConfirmed}: TaskRun, monotonic: MonotonicTime): SchedulerTransition {
	switch (stage) {
		case 'starting': {
			return withoutEffects(state);
		}

		case 'running': {
			return stopRuns(state, [name], {kind: 'not-listed'}, monotonic);
		}

		case 'stopping': {
			return withoutEffects(isStopConfirmed ? releaseRun(state, name, monotonic) : state);
		}
	}
}
