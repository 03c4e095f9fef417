/** Workers with their runs and free resources during one scheduling pass. */
import type {MonotonicTime} from '#core';
import {
	formatIncarnationKey, type Resources, type JobKey, type JobStep, type TaskName,
} from '#jobs';
import {
	isOpen, isRunOn, findJob, resourcesOf, resolveQueue, findStep,
} from './state.js';
import type {Rank} from './rank.js';
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
}>;

export type PoolWorker = Readonly<{
	worker: SchedulerWorker;
	free: Resources;
	runs: readonly PlacedRun[];
	/** Whether new tasks may be placed on the worker. */
	isUsable: boolean;
}>;

export type Pool = ReadonlyMap<AgentName, PoolWorker>;

/** Collects the runs and free resources of every worker. A run uses its resources until its end is listed, also while it is being stopped. */
export function createPool(state: SchedulerState, ranks: ReadonlyMap<JobKey, Rank>, monotonic: MonotonicTime): Pool {
	const runs = new Map<AgentName, PlacedRun[]>();
	const workers = new Map([...state.workers.values()].map(worker => [formatIncarnationKey(worker.snapshot), worker]));
	for (const job of state.jobs.values()) {
		for (const [task, {run, preemptions}] of job.tasks) {
			const worker = run === undefined ? undefined : workers.get(formatIncarnationKey(run.incarnation));
			const step = findStep(job, task);
			if (run === undefined || worker === undefined || step === undefined) {
				continue;
			}

			const placed = {
				task, job, step, run, rank: findRank(state, job, ranks), need: resourcesOf(step), agent: worker.agent, preemptions,
			};
			runs.set(worker.agent, [...(runs.get(worker.agent) ?? []), placed]);
		}
	}

	return new Map([...state.workers.values()].map(worker => {
		const placed = runs.get(worker.agent) ?? [];
		return [worker.agent, {
			worker,
			runs: placed,
			free: placed.reduce((free, {need}) => subtract(free, need), worker.snapshot.capacity),
			isUsable: isUsable(worker, monotonic) && !hasOrphanedRun(state, worker),
		}];
	}));
}

function findRank(state: SchedulerState, job: SchedulerJob, ranks: ReadonlyMap<JobKey, Rank>): Rank {
	return ranks.get(job.submission.job) ?? resolveQueue(state, job).priority + 1;
}

function isUsable({contact, snapshot, health}: SchedulerWorker, monotonic: MonotonicTime): boolean {
	return contact.kind === 'attached' && snapshot.isResponsive && snapshot.state === 'ready' && health.avoidedUntil <= monotonic;
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
	return current === undefined ? pool : new Map(pool).set(agent, {...current, free: subtract(current.free, need)});
}

/** Excludes workers from further placements in the pass. */
export function reserveWorkers(pool: Pool, agents: readonly AgentName[]): Pool {
	const next = new Map(pool);
	for (const agent of agents) {
		const current = next.get(agent);
		if (current !== undefined) {
			next.set(agent, {...current, isUsable: false});
		}
	}

	return next;
}
