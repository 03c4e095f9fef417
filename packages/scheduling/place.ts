import type {MonotonicTime} from '#core';
import {parseTaskName, type TaskName} from '#jobs';
import {
	countFitting, allocate, type Pool, type PoolWorker,
} from './pool.js';
import {guaranteedRackWaitMilliseconds, rackWaitShare} from './constants.js';
import {
	countRuns, isLowRankWithoutCheckpoints, isUtilizationLow, limitToShare, limitToProbeTasks,
} from './low-rank.js';
import {resourcesOf} from './state.js';
import type {AgentName} from './types.js';
import type {SchedulingUnit} from './units.js';

export type Placement = Readonly<{task: TaskName; agent: AgentName}>;

/** Number of a unit's tasks to place on each worker. */
export type TaskCounts = ReadonlyMap<AgentName, number>;

/** Lists usable workers with the service and label that the unit requires. */
function listEligible({step, queue}: SchedulingUnit, pool: Pool): readonly PoolWorker[] {
	return [...pool.values()].filter(({worker: {snapshot}, isUsable}) => isUsable
		&& snapshot.service === queue.service
		&& (step.requiredLabel === undefined || snapshot.labels.includes(step.requiredLabel)));
}

/** Lists the workers on which the unit may be placed; low-rank work that cannot save its progress is limited to a share of them. */
export function listCandidates(unit: SchedulingUnit, pool: Pool): readonly PoolWorker[] {
	const candidates = listEligible(unit, pool);
	return isLowRankWithoutCheckpoints(unit) ? limitToShare(unit, candidates, pool) : candidates;
}

/** Places as many of the unit's tasks as fit; a gang only as a whole. */
export function placeUnit(unit: SchedulingUnit, pool: Pool, monotonic: MonotonicTime): readonly Placement[] {
	const placements = placeAmong(unit, listCandidates(unit, pool), pool, monotonic);
	if (placements.length > 0 || !isLowRankWithoutCheckpoints(unit) || countRuns(unit) > 0 || !isUtilizationLow(pool)) {
		return placements;
	}

	// At low utilization no other work needs the capacity that the share leaves free.
	const minimal = unit.step.isGang ? unit : {...unit, tasks: unit.tasks.slice(0, 1)};
	return placeAmong(minimal, listEligible(unit, pool), pool, monotonic);
}

function placeAmong(unit: SchedulingUnit, candidates: readonly PoolWorker[], pool: Pool, monotonic: MonotonicTime): readonly Placement[] {
	return unit.step.isGang ? placeGang(unit, candidates, pool, monotonic) : placeTasks(limitToProbeTasks(unit), candidates, pool, monotonic);
}

/** Whether the unit should still wait for its preferred rack rather than run slower elsewhere. */
export function mayWaitForRack({rank, step, waitingSince}: SchedulingUnit, monotonic: MonotonicTime): boolean {
	const longestWait = step.estimatedMilliseconds * rackWaitShare;
	return monotonic - waitingSince < (rank === 0 ? Math.min(longestWait, guaranteedRackWaitMilliseconds) : longestWait);
}

export function groupByRack(candidates: readonly PoolWorker[]): ReadonlyArray<readonly PoolWorker[]> {
	const racks = new Map<string, PoolWorker[]>();
	for (const candidate of candidates) {
		const {rack} = candidate.worker.snapshot;
		racks.set(rack, [...(racks.get(rack) ?? []), candidate]);
	}

	return [...racks.values()];
}

/** Number of further tasks of the unit's step that the limit per worker allows on a worker. */
export function countAllowedTasks({step: {maximumPerWorker}, occurrence, stepIndex, job, tasks}: SchedulingUnit, {runs}: PoolWorker): number {
	if (maximumPerWorker === 0) {
		return tasks.length;
	}

	const placed = runs.filter(({task}) => {
		const address = parseTaskName(task);
		return address.job === job.submission.job && address.occurrence === occurrence && address.step === stepIndex;
	});
	return Math.max(0, maximumPerWorker - placed.length);
}

function placeGang(unit: SchedulingUnit, candidates: readonly PoolWorker[], pool: Pool, monotonic: MonotonicTime): readonly Placement[] {
	const {step, tasks} = unit;
	const preferredWorkers = isAvoidanceUseful(unit, candidates) ? candidates.filter(candidate => !isAvoided(unit, candidate)) : candidates;
	const preferredRacks = step.dataRack === undefined ? groupByRack(preferredWorkers) : groupByRack(preferredWorkers).filter(([first]) => first?.worker.snapshot.rack === step.dataRack);
	if (step.prefersOneRack || step.dataRack !== undefined) {
		const fitting = preferredRacks.map(rack => distributeTasks(unit, rack)).filter(taskCounts => countPlaced(taskCounts) >= tasks.length);
		const best = fitting.toSorted((first, second) => countFreeAccelerators(first, pool) - countFreeAccelerators(second, pool))[0];
		if (best !== undefined) {
			return assign(tasks, best);
		}

		const couldFit = preferredRacks.some(rack => countPlaced(distributeTasks(unit, rack.map(candidate => withFullCapacity(candidate)))) >= tasks.length);
		if (couldFit && mayWaitForRack(unit, monotonic)) {
			return [];
		}
	}

	const taskCounts = distributeTasks(unit, preferredWorkers);
	return countPlaced(taskCounts) >= tasks.length ? assign(tasks, taskCounts) : [];
}

function placeTasks(unit: SchedulingUnit, candidates: readonly PoolWorker[], pool: Pool, monotonic: MonotonicTime): readonly Placement[] {
	const placements: Placement[] = [];
	let remaining = pool;
	for (const task of unit.tasks) {
		const agent = placeTask(unit, task, {
			pool: remaining, monotonic, candidates, placements,
		});
		if (agent !== undefined) {
			remaining = allocate(remaining, agent, resourcesOf(unit.step));
			placements.push({task, agent});
		}
	}

	return placements;
}

/** Selects a worker for one task; workers that the task avoids are left out if there are others. */
function placeTask(unit: SchedulingUnit, task: TaskName, context: PickContext & Readonly<{placements: readonly Placement[]}>): AgentName | undefined {
	const {pool, candidates, placements} = context;
	const avoided = unit.job.tasks.get(task)?.avoided ?? [];
	const available = candidates.filter(({worker: {agent}}) => {
		const current = pool.get(agent);
		return current !== undefined
			&& countFitting(current.free, resourcesOf(unit.step), 1) === 1
			&& placements.filter(placement => placement.agent === agent).length < countAllowedTasks(unit, current);
	});
	const preferred = available.filter(({worker}) => !avoided.includes(worker.snapshot.worker));
	const hasOtherWorker = candidates.some(({worker}) => !avoided.includes(worker.snapshot.worker));
	return pickWorker(unit, hasOtherWorker ? preferred : available, context)?.worker.agent;
}

type PickContext = Readonly<{pool: Pool; monotonic: MonotonicTime; candidates: readonly PoolWorker[]}>;

/** Selects the tightest fit by accelerators, only in the rack of the data while the unit may wait for it. */
function pickWorker(unit: SchedulingUnit, available: readonly PoolWorker[], {pool, monotonic, candidates}: PickContext): PoolWorker | undefined {
	const {dataRack} = unit.step;
	const isInDataRack = ({worker}: PoolWorker) => worker.snapshot.rack === dataRack;
	const inDataRack = dataRack === undefined ? available : available.filter(candidate => isInDataRack(candidate));
	if (inDataRack.length === 0 && dataRack !== undefined && candidates.some(candidate => isInDataRack(candidate)) && mayWaitForRack(unit, monotonic)) {
		return undefined;
	}

	const countFree = ({worker: {agent}}: PoolWorker) => pool.get(agent)?.free.accelerators ?? 0;
	return (inDataRack.length > 0 ? inDataRack : available).toSorted((first, second) => countFree(first) - countFree(second))[0];
}

/** Distributes the unit's tasks: to the tightest worker on which all of them fit, otherwise to those on which the most fit. This leaves large free workers for wide work. */
export function distributeTasks(unit: SchedulingUnit, candidates: readonly PoolWorker[]): TaskCounts {
	const need = resourcesOf(unit.step);
	const taskCounts = new Map<AgentName, number>();
	let remaining = unit.tasks.length;
	const ordered = candidates
		.map(candidate => ({candidate, fitting: countFitting(candidate.free, need, Math.min(unit.tasks.length, countAllowedTasks(unit, candidate)))}))
		.filter(({fitting}) => fitting > 0)
		.toSorted((first, second) => first.candidate.free.accelerators - second.candidate.free.accelerators);
	const single = ordered.find(({fitting}) => fitting >= unit.tasks.length);
	for (const {candidate, fitting} of single === undefined ? ordered.toSorted((first, second) => second.fitting - first.fitting) : [single]) {
		const taskCount = Math.min(remaining, fitting);
		if (taskCount > 0) {
			taskCounts.set(candidate.worker.agent, taskCount);
			remaining -= taskCount;
		}
	}

	return taskCounts;
}

export function countPlaced(taskCounts: TaskCounts): number {
	return [...taskCounts.values()].reduce((total, taskCount) => total + taskCount, 0);
}

export function assign(tasks: readonly TaskName[], taskCounts: TaskCounts): readonly Placement[] {
	const agents = [...taskCounts].flatMap(([agent, taskCount]) => Array.from({length: taskCount}, () => agent));
	return tasks.flatMap((task, index) => {
		const agent = agents[index];
		return agent === undefined ? [] : [{task, agent}];
	});
}

/** The worker with its whole capacity free, as if it were idle; its runs still count towards the limit per worker. */
export function withFullCapacity(candidate: PoolWorker): PoolWorker {
	return {...candidate, free: candidate.worker.snapshot.capacity};
}

/** Number of free accelerators on the chosen workers; fewer mean a tighter fit. */
function countFreeAccelerators(taskCounts: TaskCounts, pool: Pool): number {
	return [...taskCounts.keys()].reduce((total, agent) => total + (pool.get(agent)?.free.accelerators ?? 0), 0);
}

function isAvoided({job, tasks}: SchedulingUnit, {worker}: PoolWorker): boolean {
	return tasks.some(task => job.tasks.get(task)?.avoided.includes(worker.snapshot.worker) === true);
}

/** Whether to leave out the workers on which the gang failed: only if it would fit on the others when they are idle. */
function isAvoidanceUseful(unit: SchedulingUnit, candidates: readonly PoolWorker[]): boolean {
	const others = candidates.filter(candidate => !isAvoided(unit, candidate)).map(candidate => withFullCapacity(candidate));
	return countPlaced(distributeTasks(unit, others)) >= unit.tasks.length;
}

