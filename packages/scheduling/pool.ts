/** Workers with their runs and free resources during one scheduling pass. */
import type {Map as PersistentMap} from 'immutable';
import type {Milliseconds, MonotonicTime} from '#core';
import type {
	Resources, JobKey, JobStep, TaskName,
} from '#jobs';
import {
	isOpen, isRunOn, findJob, resourcesOf, resolveQueue,
} from './state.js';
import {isInClosedZone} from './closed-zones.js';
import {estimateSpeed, type TaskKind} from '#pace';
import {isOnProbation} from './crashes.js';
import {isUnstable} from './departures.js';
import {findAcknowledgementEnd} from './late-acknowledgements.js';
import {listLateStarts} from './late-starts.js';
import {listConflicting, listKindsToKeepApart} from './pace.js';
import type {Rank} from './rank.js';
import {estimateRemaining} from './remaining.js';
import {listRunsOf, type ListedRun} from './runs.js';
import type {
	AgentName, SchedulerJob, SchedulerState, SchedulerWorker, TaskRun,
} from './types.js';

/** A run with the resources that it uses, for preemption decisions. */
export type PlacedRun = Readonly<{
	task: TaskName;
	job: SchedulerJob;
	step: JobStep;
	run: TaskRun;
	rank: Rank;
	need: Resources;
	agent: AgentName;
	/** How often the task was preempted. */
	preemptions: number;
	/** Whether the run may crash the worker as an earlier one did. */
	isOnProbation: boolean;
}>;

export type PoolWorker = Readonly<{
	worker: SchedulerWorker;
	free: Resources;
	runs: readonly PlacedRun[];
	/** Whether new tasks may be placed on the worker. */
	isUsable: boolean;
	/** Whether its closed zone is the only reason why none may. */
	isHeldByZone: boolean;
	/** How much longer the worker stays slow, as it announced. */
	coldFor: Milliseconds;
	/** Believed speed as a multiple of a usual worker's; undefined without a belief. */
	speed: number | undefined;
	/** Kinds of tasks that are to be kept apart from those on the worker. */
	conflicting: ReadonlySet<TaskKind>;
	/** Whether a worker beside the agent lately left, came back or announced that it leaves. */
	isUnstable: boolean;
}>;

export type Pool = PersistentMap<AgentName, PoolWorker>;

/** Collects the runs and free resources of every worker. A run uses its resources until its end is listed, also while it is being stopped; a start that may still be carried out holds them. */
export function createPool(state: SchedulerState, ranks: ReadonlyMap<JobKey, Rank>, monotonic: MonotonicTime): Pool {
	const lateStarts = listLateStarts(state, monotonic);
	const conflicts = listKindsToKeepApart(state, monotonic);
	return state.workers.map((worker, agent) => {
		const isClosed = isInClosedZone(state, worker);
		const runs = listRunsOf(state, agent).flatMap(listed => isRunOn(listed.run, worker) ? placeRun(state, listed, ranks) : []);
		const isOtherwiseUsable = isUsable(worker, monotonic)
			&& findAcknowledgementEnd(state, worker, monotonic) === undefined
			&& !hasOrphanedRun(state, worker)
			&& !runs.some(run => run.isOnProbation);
		return {
			worker,
			runs,
			free: [...runs.map(({need}) => need), ...lateStarts.get(agent) ?? []].reduce((free, need) => subtract(free, need), worker.snapshot.capacity),
			isUsable: isOtherwiseUsable && !isClosed,
			isHeldByZone: isOtherwiseUsable && isClosed,
			coldFor: Math.max(0, worker.grantedAt + (worker.snapshot.coldForMilliseconds ?? 0) - monotonic),
			speed: estimateSpeed(state.pace.beliefs, worker.snapshot, monotonic),
			conflicting: listConflicting(runs, conflicts),
			isUnstable: isUnstable(state, agent, monotonic),
		};
	});
}

function placeRun(state: SchedulerState, {name, run, task, job}: ListedRun, ranks: ReadonlyMap<JobKey, Rank>): readonly PlacedRun[] {
	const step = job.submission.request.steps[task.stepIndex];
	return step === undefined
		? []
		: [{
			task: name, job, step, run, rank: findRank(state, job, ranks), need: resourcesOf(step), agent: run.agent, preemptions: task.preemptions, isOnProbation: isOnProbation(task),
		}];
}

function findRank(state: SchedulerState, job: SchedulerJob, ranks: ReadonlyMap<JobKey, Rank>): Rank {
	return ranks.get(job.submission.job) ?? resolveQueue(state, job).priority + 1;
}

function isUsable({contact, snapshot, health}: SchedulerWorker, monotonic: MonotonicTime): boolean {
	return contact === 'attached' && snapshot.isResponsive && snapshot.state === 'ready' && health.avoidedUntil <= monotonic;
}

/** Whether the worker lists a run that the scheduler does not expect. It uses an unknown amount of resources until it is stopped. */
function hasOrphanedRun(state: SchedulerState, worker: SchedulerWorker): boolean {
	return worker.snapshot.running.some(({task, run}) => {
		const job = findJob(state, task);
		const known = job?.tasks.get(task)?.run;
		return job === undefined || !isOpen(job) || !isRunOn(known, worker) || known.run !== run;
	});
}

export function subtract(free: Resources, need: Resources): Resources {
	return {
		processorMillicores: free.processorMillicores - need.processorMillicores,
		memoryMegabytes: free.memoryMegabytes - need.memoryMegabytes,
		accelerators: free.accelerators - need.accelerators,
	};
}

export function add(free: Resources, freed: Resources): Resources {
	return {
		processorMillicores: free.processorMillicores + freed.processorMillicores,
		memoryMegabytes: free.memoryMegabytes + freed.memoryMegabytes,
		accelerators: free.accelerators + freed.accelerators,
	};
}

/** Orders workers by their free accelerators, the tightest first. Where a zone was opened or workers started again, so that some are slow for a while, the one that is warm sooner comes first of those that fit equally. */
export function compareFit(first: PoolWorker, second: PoolWorker): number {
	return first.free.accelerators - second.free.accelerators || first.coldFor - second.coldFor;
}

/** Lists the workers without those that only a closed zone keeps from getting tasks: what is free there is neither capacity nor unused. */
export function listOutsideClosedZones(pool: Pool): readonly PoolWorker[] {
	return [...pool.values()].filter(({isHeldByZone}) => !isHeldByZone);
}

/** Whether nothing runs on the worker and none of its room is allocated in this pass. */
export function isIdle({worker: {snapshot: {capacity}}, free, runs}: PoolWorker): boolean {
	return runs.length === 0
		&& free.processorMillicores === capacity.processorMillicores
		&& free.memoryMegabytes === capacity.memoryMegabytes
		&& free.accelerators === capacity.accelerators;
}

/** The worker with all the room that ends of its runs can free; work that lasts does not end by itself. Its runs still count towards the limit per worker. */
export function withReclaimableRoom(candidate: PoolWorker): PoolWorker {
	const {worker: {snapshot: {capacity}}, runs} = candidate;
	return {...candidate, free: runs.filter(({run, step}) => step.isLongRunning && run.stage !== 'stopping').reduce((free, {need}) => subtract(free, need), capacity)};
}

/** The worker with the room that it is expected to have after a duration: that of the runs that end by then. */
export function withRoomWithin(candidate: PoolWorker, duration: Milliseconds, monotonic: MonotonicTime): PoolWorker {
	const ending = candidate.runs.filter(({run, step}) => run.stage === 'stopping' || estimateRemaining(run, step, monotonic) <= duration);
	return {...candidate, free: ending.reduce((free, {need}) => add(free, need), candidate.free)};
}

/** Number of tasks of one size that fit, up to a limit. */
export function countFitting(free: Resources, need: Resources, limit: number): number {
	const countByAmount = (available: number, needed: number) => needed === 0 ? limit : Math.floor(available / needed);
	return Math.max(0, Math.min(
		limit,
		countByAmount(free.processorMillicores, need.processorMillicores),
		countByAmount(free.memoryMegabytes, need.memoryMegabytes),
		countByAmount(free.accelerators, need.accelerators),
	));
}

/** Allocates resources of a worker for the rest of the pass. */
export function allocate(pool: Pool, agent: AgentName, need: Resources): Pool {
	const current = pool.get(agent);
	return current === undefined ? pool : pool.set(agent, {...current, free: subtract(current.free, need)});
}

/** Excludes workers from further placements in the pass. */
export function reserveWorkers(pool: Pool, agents: readonly AgentName[]): Pool {
	let next = pool;
	for (const agent of agents) {
		const current = next.get(agent);
		next = current === undefined ? next : next.set(agent, {...current, isUsable: false});
	}

	return next;
}
