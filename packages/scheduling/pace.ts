/** Samples the pace of runs, and tells which tasks are to be kept apart. */
import {groupBy, hashText, type MonotonicTime} from '#core';
import {
	isSameIncarnation, parseJobOfTask, type EndedRun, type JobKey, type JobStep, type QueueName, type WorkerIncarnation,
} from '#jobs';
import {
	comparableRuns, listConflicts, recordPace, rememberedWindows, type BeliefChange, type RunSample, type TaskKind,
} from '#pace';
import {maximumEndedPaces, paceSampleMilliseconds} from './constants.js';
import {
	listRunsOf, withoutEffects, type ListedRun, type SchedulerTransition,
} from './runs.js';
import {findJob, findStep, findWorkerOfRun} from './state.js';
import type {AgentName, SchedulerEffect, SchedulerState} from './types.js';

/** Kind of a step's tasks: their image, or their queue and shape. */
export function kindOf(queue: QueueName, {image, processorMillicores, memoryMegabytes, accelerators}: JobStep): TaskKind {
	return image ?? `${queue}/${processorMillicores}/${memoryMegabytes}/${accelerators}`;
}

/** Kinds that are to be kept apart, by kind; empty unless that is switched on. */
export type Conflicts = ReadonlyMap<TaskKind, ReadonlySet<TaskKind>>;

export function listKindsToKeepApart({pace: {beliefs}, policy: {keepApart}}: SchedulerState, monotonic: MonotonicTime): Conflicts {
	return keepApart === 'off' || beliefs.interference.size === 0 ? new Map() : listConflicts(beliefs, monotonic);
}

const noKinds: ReadonlySet<TaskKind> = new Set();

/** Lists the kinds that are to be kept apart from the given runs. */
export function listConflicting(runs: ReadonlyArray<Pick<ListedRun, 'job'> & Readonly<{step: JobStep}>>, conflicts: Conflicts): ReadonlySet<TaskKind> {
	return conflicts.size === 0 ? noKinds : new Set(runs.flatMap(({job, step}) => [...conflicts.get(kindOf(job.submission.queue.name, step)) ?? []]));
}

/** The incarnation that listed an end, and the agent beside it. */
export type EndOrigin = WorkerIncarnation & Readonly<{agent: AgentName}>;

/** Keeps the pace of a run that ended as done until the next sample. */
export function noteEndedRun(state: SchedulerState, origin: EndOrigin, {task: name, run: number, ending}: EndedRun, monotonic: MonotonicTime): SchedulerState {
	const job = ending === 'done' ? findJob(state, name) : undefined;
	const task = job?.tasks.get(name);
	const {run} = task ?? {};
	if (job === undefined || task === undefined || run?.run !== number || !isSameIncarnation(run.incarnation, origin) || state.pace.ended.length >= maximumEndedPaces || !isComparable(findStep(job, name))) {
		return state;
	}

	const listed = {
		name, task, run: {...run, percent: 100, progressedAt: monotonic}, job,
	};
	const neighbours = createNeighbourhood(listRunsOf(state, origin.agent));
	const sample = createSample(state, listed, neighbours, true);
	return sample === undefined ? state : {...state, pace: {...state.pace, ended: [...state.pace.ended, sample]}};
}

/** Whether the step's tasks can be compared with each other: those of a gang all progress at the pace of the slowest one. */
function isComparable(step: JobStep | undefined): boolean {
	return step !== undefined && !step.isGang && !step.isLongRunning && !step.isFilling && step.count >= comparableRuns;
}

function isMeasurable({name, run, job}: ListedRun): boolean {
	return run.stage === 'running' && run.percent < 100 && isComparable(findStep(job, name));
}

/** Selects whole jobs of a large fleet, since runs are compared within a step, so that a sample stays cheap. The same jobs are selected each time while the number of runs stays. */
function selectJobs(runs: readonly ListedRun[]): (job: JobKey) => boolean {
	const count = runs.filter(listed => isMeasurable(listed)).length;
	return job => count <= rememberedWindows || hashText(job) / (2 ** 32) < rememberedWindows / count;
}

/** Learns from the progress of the runs at a bounded interval, not with each report. */
export function samplePaces(state: SchedulerState, runs: readonly ListedRun[], monotonic: MonotonicTime): SchedulerTransition {
	const {beliefs, ended, sampledAt} = state.pace;
	if (monotonic - sampledAt < paceSampleMilliseconds) {
		return withoutEffects(state);
	}

	const isSampled = selectJobs(runs);
	const samples = [...groupBy(runs, ({run}) => run.agent).values()].flatMap(beside => {
		const comparable = beside.filter(listed => isMeasurable(listed) && isSampled(listed.job.submission.job));
		const neighbourhood = comparable.length === 0 ? undefined : createNeighbourhood(beside);
		return neighbourhood === undefined ? [] : comparable.flatMap(listed => createSample(state, listed, neighbourhood, false) ?? []);
	});
	const {state: learned, changes} = recordPace(beliefs, [...ended.filter(({task}) => isSampled(parseJobOfTask(task))), ...samples.slice(0, rememberedWindows)], monotonic);
	return {
		state: {
			...state, pace: {
				...state.pace, beliefs: learned, ended: [], sampledAt: monotonic,
			},
		},
		effects: changes.map(change => logChange(change, monotonic)),
	};
}

/** Tells the kinds of the other runs on a worker. */
type Neighbourhood = (kind: TaskKind) => readonly TaskKind[];

function createNeighbourhood(runs: readonly ListedRun[]): Neighbourhood {
	const counts = new Map<TaskKind, number>();
	for (const {name, run, job} of runs) {
		const step = run.stage === 'starting' ? undefined : findStep(job, name);
		if (step !== undefined) {
			const kind = kindOf(job.submission.queue.name, step);
			counts.set(kind, (counts.get(kind) ?? 0) + 1);
		}
	}

	const kinds = [...counts.keys()].toSorted();
	return kind => (counts.get(kind) ?? 0) > 1 ? kinds : kinds.filter(other => other !== kind);
}

function createSample(state: SchedulerState, {name, task, run, job}: ListedRun, neighbourhood: Neighbourhood, isEnded: boolean): RunSample | undefined {
	const step = findStep(job, name);
	const rack = findWorkerOfRun(state, run)?.snapshot.rack;
	if (step === undefined || rack === undefined) {
		return undefined;
	}

	const kind = kindOf(job.submission.queue.name, step);
	const isNearData = step.dataRack === undefined || step.dataRack === rack;
	return {
		task: name,
		run: run.run,
		worker: run.incarnation,
		group: `${job.submission.job} ${task.occurrence} ${task.stepIndex} ${isNearData}`,
		kind,
		neighbours: neighbourhood(kind),
		percent: run.percent,
		at: run.progressedAt,
		baseline: run.paceBaseline,
		isEnded,
	};
}

function logChange(change: BeliefChange, monotonic: MonotonicTime): SchedulerEffect {
	switch (change.kind) {
		case 'interference-began':
		case 'interference-ended': {
			const {
				kind: taskKind, neighbour, factor, observationsWith, observationsWithout, since,
			} = change.belief;
			return {
				kind: 'log', event: change.kind, fields: {
					taskKind, neighbour, factor: round(factor), observationsWith, observationsWithout, heldMilliseconds: Math.round(monotonic - since),
				},
			};
		}

		case 'slow-worker-began':
		case 'slow-worker-ended': {
			const {kind: event, worker, speed, observations} = change;
			return {kind: 'log', event, fields: {...worker, speed: round(speed), observations}};
		}
	}
}

function round(factor: number): number {
	return Math.round(factor * 100) / 100;
}
