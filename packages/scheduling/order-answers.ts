/** Handles the answers of workers to start and stop orders. */
import type {CurrentTime} from '#core';
import {avoidanceMilliseconds, refusalPauseMilliseconds} from './constants.js';
import {noteAnsweredRefusals} from './late-starts.js';
import {
	chain, releaseRefusedRun, stopRuns, withoutEffects, type SchedulerTransition,
} from './runs.js';
import {
	isRunOn, findJob, findTask, listStepMembers, findStep, withTask, withWorker,
} from './state.js';
import type {
	AgentName, SchedulerMessage, SchedulerState, StartAnswer,
} from './types.js';

export function handleStartAnswers(state: SchedulerState, agent: AgentName, answers: readonly StartAnswer[], time: CurrentTime): SchedulerTransition {
	return chain(state, answers.map(answer => next => handleStartAnswer(next, agent, answer, time)));
}

function handleStartAnswer(state: SchedulerState, agent: AgentName, {task: name, run: number, result}: StartAnswer, time: CurrentTime): SchedulerTransition {
	const job = findJob(state, name);
	const task = job?.tasks.get(name);
	const worker = state.workers.get(agent);
	if (job === undefined || task === undefined || worker === undefined || !isRunOn(task.run, worker) || task.run.run !== number) {
		return withoutEffects(state);
	}

	const {run} = task;
	switch (result) {
		case 'started': {
			return withoutEffects(withTask(state, name, {
				...task, run: {
					...run,
					isStartConfirmed: true,
					...(run.stage === 'starting'
						? {
							stage: 'running', startedAt: time.monotonic, progressedAt: time.monotonic, paceBaseline: {percent: 0, at: time.monotonic},
						}
						: {}),
				},
			}));
		}

		// The run may still start; it is stopped if the worker does not list it in time.
		case 'unknown': {
			return withoutEffects(state);
		}

		case 'no-room':
		case 'unhealthy':
		case 'too-late':
		case 'run-too-low':
		case 'superseded':
		case 'invalid':
		case 'zone-closed': {
			const pause = result === 'unhealthy' ? avoidanceMilliseconds : refusalPauseMilliseconds;
			const paused = withWorker(state, {...worker, health: {...worker.health, avoidedUntil: Math.max(worker.health.avoidedUntil, time.monotonic + pause)}});
			const released = releaseRefusedRun(paused, name, time.monotonic);
			const isGang = findStep(job, name)?.isGang === true;
			return chain(released, [
				next => ({
					state: next,
					effects: [{
						kind: 'log', event: 'start-refused', fields: {
							task: name, run: number, worker: worker.snapshot.worker, reason: result,
						},
					}],
				}),
				next => isGang ? stopRuns(next, listStepMembers(job, name), {kind: 'member-refused'}, time.monotonic) : withoutEffects(next),
			]);
		}
	}
}

/** Applies confirmed stops. One that the earlier incarnation confirmed may arrive after its run has moved to the next one, which knows nothing of it. */
export function handleStopAnswers(state: SchedulerState, message: Extract<SchedulerMessage, {kind: 'stop-answered'}>): SchedulerTransition {
	const {agent, incarnation, orders} = message;
	let next = noteAnsweredRefusals(state, message);
	for (const {task: name, run: number} of orders) {
		const task = findTask(next, name);
		const worker = next.workers.get(agent);
		if (task !== undefined && worker?.snapshot.incarnation === incarnation && isRunOn(task.run, worker) && task.run.run === number) {
			next = withTask(next, name, {...task, run: {...task.run, isStopConfirmed: true}});
		}
	}

	return withoutEffects(next);
}
