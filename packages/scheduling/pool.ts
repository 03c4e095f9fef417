/** Free resources of the workers during one pass of the scheduler. */
import type {MonotonicTime} from '#core';
import {
	formatIncarnationKey, type Resources, type JobKey, type JobStep, type TaskName,
} from '#jobs';
import {
	isOpen, isRunOn, jobOf, resourcesOf, queueOf, stepOf,
} from './state.js';
import type {Rank} from './rank.js';
import type {
	AgentName, SchedulerJob, SchedulerState, SchedulerWorker, TaskRun,
} from './types.js';

/** A run with what it takes, for decisions about preemption. */
export type PlacedRun = Readonly<{
	task: TaskName;
	job: SchedulerJob;
	step: JobStep;
	run: TaskRun;
	rank: Rank;
	need: Resources;
	agent: AgentName;
	/** How often the task was stopped for more urgent work. */
	preemptions: number;
}>;

export type PoolWorker = Readonly<{
	worker: SchedulerWorker;
	free: Resources;
	runs: readonly PlacedRun[];
	/** Whether new tasks may be placed there. */
	isUsable: boolean;
}>;

export type Pool = ReadonlyMap<AgentName, PoolWorker>;

/** Takes stock of every worker. A run takes its resources until its end is listed, also while it is being stopped. */
export function createPool(state: SchedulerState, ranks: ReadonlyMap<JobKey, Rank>, monotonic: MonotonicTime): Pool {
	const runs = new Map<AgentName, PlacedRun[]>();
	const workers = new Map([...state.workers.values()].map(worker => [formatIncarnationKey(worker.snapshot), worker]));
	for (const job of state.jobs.values()) {
		for (const [task, {run, preemptions}] of job.tasks) {
			const worker = run === undefined ? undefined : workers.get(formatIncarnationKey(run.incarnation));
			const step = stepOf(job, task);
			if (run === undefined || worker === undefined || step === undefined) {
				continue;
			}

			const placed = {
				task, job, step, run, rank: rankOf(state, job, ranks), need: resourcesOf(step), agent: worker.agent, preemptions,
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

function rankOf(state: SchedulerState, job: SchedulerJob, ranks: ReadonlyMap<JobKey, Rank>): Rank {
	return ranks.get(job.submission.job) ?? queueOf(state, job).priority + 1;
}

function isUsable({contact, snapshot, health}: SchedulerWorker, monotonic: MonotonicTime): boolean {
	return contact.kind === 'attached' && snapshot.isResponsive && snapshot.state === 'ready' && health.avoidedUntil <= monotonic;
}

/** A run that nobody wants takes room of unknown size until it is stopped. */
function hasOrphanedRun(state: SchedulerState, worker: SchedulerWorker): boolean {
	return worker.snapshot.running.some(({task, run}) => {
		const job = jobOf(state, task);
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

/** How many tasks of one size fit. */
export function countFitting(free: Resources, need: Resources, limit: number): number {
	const each = (available: number, needed: number) => needed === 0 ? limit : Math.floor(available / needed);
	return Math.max(0, Math.min(
		limit,
		each(free.processorMillicores, need.processorMillicores),
		each(free.memoryMegabytes, need.memoryMegabytes),
		each(free.accelerators, need.accelerators),
	));
}

/** Takes resources of a worker for the rest of the pass. */
export function allocate(board: Pool, agent: AgentName, need: Resources): Pool {
	const present = board.get(agent);
	return present === undefined ? board : new Map(board).set(agent, {...present, free: subtract(present.free, need)});
}

/** Keeps workers from being used in the rest of the pass. */
export function reserveWorkers(board: Pool, agents: readonly AgentName[]): Pool {
	const next = new Map(board);
	for (const agent of agents) {
		const present = next.get(agent);
		if (present !== undefined) {
			next.set(agent, {...present, isUsable: false});
		}
	}

	return next;
}
