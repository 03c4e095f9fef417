/** Releases the runs of worker incarnations that have ended, and counts the crashes of workers. */
import {assertNever, type CurrentTime} from '#core';
import {
	isSameIncarnation, parseJobOfTask, type JobKey, type LostRun, type TaskName,
} from '#jobs';
import {addCrash, hasExhaustedCrashes, recordCrash} from './crashes.js';
import {noteDeparture} from './departures.js';
import {handleLastEnd} from './ends.js';
import {recordLateAcknowledgements} from './late-acknowledgements.js';
import {measureLoss} from './loss.js';
import {openForReport} from './occurrences.js';
import {
	chain, endJob, listRunsOf, releaseRun, stopRuns, storeJob, withoutEffects, type SchedulerTransition,
} from './runs.js';
import {
	findJob, findStep, isOpen, isRunOn, listStepMembers,
} from './state.js';
import {describeLoss, type ReleaseCause} from './stop-reasons.js';
import type {
	IncarnationEnd, SchedulerState, SchedulerWorker, TaskRun,
} from './types.js';

function describeCause(cause: ReleaseCause): string {
	switch (cause) {
		case 'worker-restarted': {
			return 'worker started again';
		}

		case 'worker-silent': {
			return 'worker is silent and its lease is over';
		}

		case 'worker-left': {
			return 'worker left';
		}

		case 'agent-lost': {
			return 'agent was lost and its grant is over';
		}

		default: {
			return assertNever(cause);
		}
	}
}

/** Whether the worker ended although it was in contact with its agent and did not announce that it leaves. */
function isCrash(cause: ReleaseCause, {snapshot}: SchedulerWorker): boolean {
	switch (cause) {
		case 'worker-restarted':
		case 'worker-silent': {
			return snapshot.state === 'ready';
		}

		case 'worker-left':
		case 'agent-lost': {
			return false;
		}

		default: {
			return assertNever(cause);
		}
	}
}

/** Whether the cause ends the run. A report that the worker is silent may have been sent before the agent received the start; its answer follows the report. */
function hasEnded({stage}: TaskRun, cause: ReleaseCause): boolean {
	return cause !== 'worker-silent' || stage !== 'starting';
}

/** Releases the runs of a worker's incarnation that have certainly ended. */
export function releaseIncarnation(state: SchedulerState, worker: SchedulerWorker, cause: ReleaseCause, time: CurrentTime): SchedulerTransition {
	let next = state;
	const lostTasks: TaskName[] = [];
	const lostRuns: Array<Pick<TaskRun, 'run' | 'stage' | 'isStopConfirmed'>> = [];
	let loss = 0;
	for (const {name, run, job} of listRunsOf(state, worker.agent)) {
		if (isRunOn(run, worker) && hasEnded(run, cause)) {
			const step = findStep(job, name);
			lostTasks.push(name);
			lostRuns.push({run: run.run, stage: run.stage, isStopConfirmed: run.isStopConfirmed});
			// The line that ordered a stop has counted the work of its runs.
			loss += step === undefined || run.stage === 'stopping' ? 0 : measureLoss(run, step, time.monotonic);
			next = releaseRun(isCrash(cause, worker) ? recordCrash(next, name, run, time.monotonic) : next, name, time.monotonic);
		}
	}

	const gangMembers = lostTasks.flatMap(name => {
		const job = findJob(next, name);
		return job !== undefined && findStep(job, name)?.isGang === true ? listStepMembers(job, name) : [];
	});
	return chain(next, [
		after => ({
			state: after,
			effects: lostTasks.length === 0
				? []
				: [{
					kind: 'log', event: 'runs-lost', fields: {
						reason: describeCause(cause), ...describeLoss(cause, loss), worker: worker.snapshot.worker, incarnation: worker.snapshot.incarnation, tasks: lostTasks, runs: lostRuns,
					},
				}],
		}),
		after => stopRuns(after, gangMembers, {kind: 'member-lost'}, time.monotonic),
		...(isCrash(cause, worker) ? [...new Set(lostTasks.map(name => parseJobOfTask(name)))] : []).map(key => (after: SchedulerState) => handleCrashes(after, key, lostTasks, time)),
	]);
}

/** Handles a run that an agent lost at its start with an earlier incarnation of its worker, perhaps under another scheduler. The agent vouches for runs whose start was not answered. */
export function handleLostRun(state: SchedulerState, {task: name, run}: LostRun, time: CurrentTime): SchedulerTransition {
	const opened = openForReport(state, name);
	const recorded = addCrash(opened, name, {run, hadProgress: false});
	return recorded === opened ? withoutEffects(opened) : handleCrashes(recorded, parseJobOfTask(name), [name], time);
}

/** Stores the crashes of a job's tasks, and gives the job up once a task has exhausted them. */
function handleCrashes(state: SchedulerState, key: JobKey, names: readonly TaskName[], time: CurrentTime): SchedulerTransition {
	const job = state.jobs.get(key);
	if (job === undefined || !isOpen(job)) {
		return withoutEffects(state);
	}

	const exhausted = names.find(name => {
		const task = job.tasks.get(name);
		return task !== undefined && hasExhaustedCrashes(task);
	});
	return exhausted === undefined
		? storeJob(state, job)
		: chain(state, [
			next => ({
				state: next, effects: [{kind: 'log', event: 'task-given-up', fields: {task: exhausted, crashes: job.tasks.get(exhausted)?.crashes}}],
			}),
			next => endJob(next, key, 'failed', time),
		]);
}

/** Removes a worker whose incarnation has certainly ended. */
export function removeWorker(state: SchedulerState, worker: SchedulerWorker, cause: ReleaseCause, time: CurrentTime): SchedulerTransition {
	const noted = noteDeparture(recordLateAcknowledgements(state, worker, time.monotonic), worker.agent, time.monotonic);
	const {state: released, effects} = releaseIncarnation(noted, worker, cause, time);
	return {
		state: {...released, workers: released.workers.delete(worker.agent), unacknowledged: released.unacknowledged.delete(worker.agent)}, effects,
	};
}

/** Handles the end of an incarnation: first the ends that it listed last, then, if it left, its other runs. The runs of one that was replaced are released by the next one's first report. */
export function handleIncarnationEnd(state: SchedulerState, end: IncarnationEnd, time: CurrentTime): SchedulerTransition {
	if (!state.isLoaded) {
		return withoutEffects({...state, deferredIncarnationEnds: [...state.deferredIncarnationEnds, end]});
	}

	return chain(state, [
		...end.ended.map(row => (next: SchedulerState) => handleLastEnd(next, end, row, time)),
		next => {
			const worker = next.workers.get(end.agent);
			return end.ending === 'left' && worker !== undefined && isSameIncarnation(worker.snapshot, end) ? removeWorker(next, worker, 'worker-left', time) : withoutEffects(next);
		},
	]);
}
