import type {Milliseconds, MonotonicTime, WorkerId} from '#core';
import {parseTaskName, type TaskName} from '#jobs';
import {findAvoidance, isAvoided} from './avoidance.js';
import {listStable, preferStable} from './departures.js';
import {
	compareFit, countFitting, isIdle, withReclaimableRoom, type Pool, type PoolWorker,
} from './pool.js';
import {
	countRuns, isLowRankWithoutCheckpoints, isUtilizationLow, limitToShare, limitToProbeTasks,
} from './low-rank.js';
import {resourcesOf} from './state.js';
import {
	compareSpeed, compareSuitability, groupFromSpeed, preferSuitable,
} from './suitability.js';
import type {AgentName, TaskState} from './types.js';
import type {SchedulingUnit} from './units.js';

export type Placement = Readonly<{task: TaskName; agent: AgentName}>;

/** Number of a unit's tasks to place on each worker. */
export type TaskCounts = ReadonlyMap<AgentName, number>;

/** Lists usable workers with the service and label that the unit requires. */
export function listEligible(unit: SchedulingUnit, pool: Pool): readonly PoolWorker[] {
	return [...pool.values()].filter(candidate => candidate.isUsable && isSuitable(unit, candidate));
}

/** Lists the workers that the unit could use if their zones were not closed. */
export function listHeldByZones(unit: SchedulingUnit, pool: Pool): readonly PoolWorker[] {
	return [...pool.values()].filter(candidate => candidate.isHeldByZone && isSuitable(unit, candidate));
}

function isSuitable({step, queue, isolation}: SchedulingUnit, candidate: PoolWorker): boolean {
	const {snapshot} = candidate.worker;
	return snapshot.service === queue.service
		&& (step.requiredLabel === undefined || snapshot.labels.includes(step.requiredLabel))
		&& (isolation !== 'idle-worker' || isIdle(candidate));
}

/** Lists the workers on which the unit may be placed; low-rank work that cannot save its progress is limited to a share of them. */
export function listCandidates(unit: SchedulingUnit, pool: Pool): readonly PoolWorker[] {
	const candidates = listEligible(unit, pool);
	return isLowRankWithoutCheckpoints(unit) ? limitToShare(unit, candidates, pool) : candidates;
}

/** Whether any worker with the unit's service and label has room for a task of it. */
export function hasRoomForTask(unit: SchedulingUnit, pool: Pool): boolean {
	const need = resourcesOf(unit.step);
	return listEligible(unit, pool).some(({free}) => countFitting(free, need, 1) === 1);
}

/** Places as many of the unit's tasks as fit; a gang only as a whole. Workers that were avoided repeatedly are left out if others can take the unit now: a preference for a rack or a share of the workers would lead back to a worker that never answers. */
export function placeUnit(unit: SchedulingUnit, pool: Pool, monotonic: MonotonicTime): readonly Placement[] {
	if (unit.repeatedlyAvoided.size > 0) {
		const others = pool.filter(({worker}) => !unit.repeatedlyAvoided.has(worker.snapshot.worker));
		const placements = placeInPool(unit, others, monotonic);
		if (placements.length > 0) {
			return placements;
		}
	}

	return placeInPool(unit, pool, monotonic);
}

function placeInPool(unit: SchedulingUnit, pool: Pool, monotonic: MonotonicTime): readonly Placement[] {
	const placements = placeAmong(unit, listCandidates(unit, pool), pool, monotonic);
	if (placements.length > 0 || !isLowRankWithoutCheckpoints(unit) || countRuns(unit) > 0 || !isUtilizationLow(pool)) {
		return placements;
	}

	// At low utilization no other work needs the capacity that the share leaves free.
	const minimal = unit.step.isGang ? unit : {...unit, tasks: unit.tasks.slice(0, 1)};
	return placeAmong(minimal, listEligible(unit, pool), pool, monotonic);
}

function placeAmong(unit: SchedulingUnit, candidates: readonly PoolWorker[], pool: Pool, monotonic: MonotonicTime): readonly Placement[] {
	if (unit.step.isGang) {
		return placeGang(unit, candidates, pool, monotonic);
	}

	const placements = placeTasks(limitToProbeTasks(unit), candidates, monotonic);
	return unit.isolation === 'none' ? placements : placements.filter(({agent}) => agent === placements[0]?.agent);
}

/** Whether the unit should still wait for its preferred rack rather than run slower elsewhere. */
export function mayWaitForRack({waitingSince, rackWaitLimit}: SchedulingUnit, monotonic: MonotonicTime): boolean {
	return monotonic - waitingSince < rackWaitLimit;
}

/** Groups workers, or items that belong to one, by rack; the order within a rack stays. */
export function groupByRack<Item>(items: readonly Item[], selectWorker: (item: Item) => PoolWorker): ReadonlyArray<readonly Item[]> {
	const racks = new Map<string, Item[]>();
	for (const item of items) {
		const {rack} = selectWorker(item).worker.snapshot;
		const members = racks.get(rack);
		if (members === undefined) {
			racks.set(rack, [item]);
		} else {
			members.push(item);
		}
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

/** Lists the racks, of those that the unit prefers, for which it may still wait: runs that end leave room for all its tasks there. */
export function listRacksToWaitFor(unit: SchedulingUnit, candidates: readonly PoolWorker[], monotonic: MonotonicTime): ReadonlyArray<readonly PoolWorker[]> {
	const {step: {prefersOneRack, dataRack}, tasks} = unit;
	if (!(prefersOneRack || dataRack !== undefined) || !mayWaitForRack(unit, monotonic)) {
		return [];
	}

	return groupByRack(candidates, candidate => candidate)
		.filter(([first]) => dataRack === undefined || first?.worker.snapshot.rack === dataRack)
		.filter(rack => countPlaced(distributeTasks(unit, rack.map(candidate => withReclaimableRoom(candidate)))) >= tasks.length);
}

function placeGang(unit: SchedulingUnit, candidates: readonly PoolWorker[], pool: Pool, monotonic: MonotonicTime): readonly Placement[] {
	const {step, tasks} = unit;
	const preferredWorkers = listPreferredWorkers(unit, candidates, monotonic);
	const neverAvoided = listNeverAvoided(unit, preferredWorkers);
	const choices = preferSuitable(unit, [...new Set([listStable(unit, neverAvoided), neverAvoided, preferredWorkers])]);
	if (step.prefersOneRack || step.dataRack !== undefined) {
		const best = findFirst(choices, workers => placeGangInRack(unit, workers, pool));
		if (best !== undefined) {
			return assign(tasks, best);
		}

		if (listRacksToWaitFor(unit, preferredWorkers, monotonic).length > 0) {
			return [];
		}
	}

	const taskCounts = findFirst(choices, workers => {
		const counts = unit.isAtRisk ? listBySpeed(unit, workers)[0]?.taskCounts : distributeTasks(unit, workers);
		return counts !== undefined && countPlaced(counts) >= tasks.length ? counts : undefined;
	});
	return taskCounts === undefined ? [] : assign(tasks, taskCounts);
}

/** A distribution of a gang, and the speed step of its slowest member. */
type SpeedOption = Readonly<{taskCounts: TaskCounts; slowest: number}>;

/** Lists the ways to place the whole gang that have different slowest members, the fastest first. */
function listBySpeed(unit: SchedulingUnit, workers: readonly PoolWorker[]): readonly SpeedOption[] {
	return groupFromSpeed(workers)
		.map(group => ({slowest: group.slowest, taskCounts: distributeTasks(unit, group.workers)}))
		.filter(({taskCounts}) => countPlaced(taskCounts) >= unit.tasks.length);
}

/** Orders by fit and then by the slowest member, or the other way round for work that is close to its objective. */
function compareByFitAndSpeed({isAtRisk}: SchedulingUnit, first: SpeedOption, second: SpeedOption, pool: Pool): number {
	const byFit = countFreeAccelerators(first.taskCounts, pool) - countFreeAccelerators(second.taskCounts, pool)
		|| findColdTime(first.taskCounts, pool) - findColdTime(second.taskCounts, pool);
	const bySpeed = second.slowest - first.slowest;
	return isAtRisk ? bySpeed || byFit : byFit || bySpeed;
}

/** Returns the first result that is not undefined; later items are not evaluated. */
function findFirst<Item, Result>(items: readonly Item[], evaluate: (item: Item) => Result | undefined): Result | undefined {
	for (const item of items) {
		const result = evaluate(item);
		if (result !== undefined) {
			return result;
		}
	}

	return undefined;
}

/** Places a gang in the rack with the tightest fit, or in that of its data; among racks that fit equally well, in the one whose slowest member is fastest. */
function placeGangInRack(unit: SchedulingUnit, workers: readonly PoolWorker[], pool: Pool): TaskCounts | undefined {
	const {dataRack} = unit.step;
	return groupByRack(workers, worker => worker)
		.filter(([first]) => dataRack === undefined || first?.worker.snapshot.rack === dataRack)
		.flatMap(rack => listBySpeed(unit, rack))
		.toSorted((first, second) => compareByFitAndSpeed(unit, first, second, pool))[0]?.taskCounts;
}

/** Places tasks on the workers with the tightest fit by accelerators. A task leaves out the workers that it avoids if there are others, also full ones: it has few attempts. Then it takes a worker that it avoided before only if no other has room, since its orders may still get no answer. */
function placeTasks(unit: SchedulingUnit, candidates: readonly PoolWorker[], monotonic: MonotonicTime): readonly Placement[] {
	const need = resourcesOf(unit.step);
	const slots = orderByFit(unit, candidates, monotonic).map(candidate => ({
		agent: candidate.worker.agent,
		worker: candidate.worker.snapshot.worker,
		remaining: countFitting(candidate.free, need, Math.min(unit.tasks.length, countAllowedTasks(unit, candidate))),
	}));
	const placements: Placement[] = [];
	// Slots before this one are full, so that wide steps do not search them again for each task.
	let firstOpen = 0;
	for (const task of unit.tasks) {
		while ((slots[firstOpen]?.remaining ?? 1) <= 0) {
			firstOpen++;
		}

		const state = unit.job.tasks.get(task);
		const slot = state === undefined || state.avoided.length === 0
			? slots[firstOpen]
			: findSlot(slots, state, excludeAvoided(state, candidates, monotonic));
		if (slot !== undefined) {
			slot.remaining--;
			placements.push({task, agent: slot.agent});
		}
	}

	return placements;
}

/** Tells which workers the task leaves out for now: those that it avoids, if there are others, also full ones. */
function excludeAvoided(task: TaskState, candidates: readonly PoolWorker[], monotonic: MonotonicTime): (slot: Slot) => boolean {
	const mayAvoid = candidates.some(({worker}) => !isAvoided(task, worker.snapshot.worker, monotonic));
	return ({worker}) => mayAvoid && isAvoided(task, worker, monotonic);
}

type Slot = Readonly<{worker: WorkerId; remaining: number}>;

/** Finds a slot for a task that avoided workers: the first one of a worker that it never avoided, or else that of the one that it avoided longest ago. */
function findSlot<Candidate extends Slot>(slots: readonly Candidate[], task: TaskState, isExcluded: (slot: Slot) => boolean): Candidate | undefined {
	let best: Readonly<{slot: Candidate; position: number}> | undefined;
	for (const slot of slots) {
		if (slot.remaining <= 0 || isExcluded(slot)) {
			continue;
		}

		const position = findAvoidance(task, slot.worker);
		if (position === -1) {
			return slot;
		}

		if (best === undefined || position < best.position) {
			best = {slot, position};
		}
	}

	return best?.slot;
}

/** Orders workers by free accelerators, those in the rack of the data first; other racks are left out while the unit may wait for that one. */
function orderByFit(unit: SchedulingUnit, candidates: readonly PoolWorker[], monotonic: MonotonicTime): readonly PoolWorker[] {
	const {dataRack} = unit.step;
	const ordered = preferStable(unit, candidates.toSorted((first, second) => compareSuitability(unit, first, second) || compareFit(first, second)));
	const inDataRack = ordered.filter(({worker}) => worker.snapshot.rack === dataRack);
	const canHaveRoom = inDataRack.some(candidate => countFitting(withReclaimableRoom(candidate).free, resourcesOf(unit.step), 1) === 1);
	return canHaveRoom && mayWaitForRack(unit, monotonic)
		? inDataRack
		: [...inDataRack, ...ordered.filter(({worker}) => worker.snapshot.rack !== dataRack)];
}

/** Distributes the unit's tasks: to the tightest worker on which all of them fit, otherwise to those on which the most fit. This leaves large free workers for wide work. */
export function distributeTasks(unit: SchedulingUnit, candidates: readonly PoolWorker[]): TaskCounts {
	const need = resourcesOf(unit.step);
	const taskCounts = new Map<AgentName, number>();
	let remaining = unit.tasks.length;
	const ordered = candidates
		.map(candidate => ({candidate, fitting: countFitting(candidate.free, need, Math.min(unit.tasks.length, countAllowedTasks(unit, candidate)))}))
		.filter(({fitting}) => fitting > 0)
		.toSorted((first, second) => compareFit(first.candidate, second.candidate) || compareSpeed(first.candidate, second.candidate));
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

/** Counts placements by agent; the reverse of `assign`. */
export function countByAgent(placements: readonly Placement[]): TaskCounts {
	const counts = new Map<AgentName, number>();
	for (const {agent} of placements) {
		counts.set(agent, (counts.get(agent) ?? 0) + 1);
	}

	return counts;
}

export function assign(tasks: readonly TaskName[], taskCounts: TaskCounts): readonly Placement[] {
	const agents = [...taskCounts].flatMap(([agent, taskCount]) => Array.from({length: taskCount}, () => agent));
	return tasks.flatMap((task, index) => {
		const agent = agents[index];
		return agent === undefined ? [] : [{task, agent}];
	});
}

/** Number of free accelerators on the chosen workers; fewer mean a tighter fit. */
function countFreeAccelerators(taskCounts: TaskCounts, pool: Pool): number {
	return [...taskCounts.keys()].reduce((total, agent) => total + (pool.get(agent)?.free.accelerators ?? 0), 0);
}

/** How long the coldest of the chosen workers stays slow; a gang is as slow as its slowest member. */
function findColdTime(taskCounts: TaskCounts, pool: Pool): Milliseconds {
	return Math.max(0, ...[...taskCounts.keys()].map(agent => pool.get(agent)?.coldFor ?? 0));
}

/** Leaves out the workers that members of the gang avoid, but only if it would fit on the others once their runs have ended. */
function listPreferredWorkers(unit: SchedulingUnit, candidates: readonly PoolWorker[], monotonic: MonotonicTime): readonly PoolWorker[] {
	const members = listAvoidingTasks(unit);
	if (members.length === 0) {
		return candidates;
	}

	const others = candidates.filter(({worker}) => !members.some(member => isAvoided(member, worker.snapshot.worker, monotonic)));
	return countPlaced(distributeTasks(unit, others.map(candidate => withReclaimableRoom(candidate)))) >= unit.tasks.length ? others : candidates;
}

/** Leaves out the workers that members of the gang ever avoided. */
function listNeverAvoided(unit: SchedulingUnit, candidates: readonly PoolWorker[]): readonly PoolWorker[] {
	const avoided = new Set(listAvoidingTasks(unit).flatMap(member => member.avoided.map(({worker}) => worker)));
	return avoided.size === 0 ? candidates : candidates.filter(({worker}) => !avoided.has(worker.snapshot.worker));
}

function listAvoidingTasks({job, tasks}: SchedulingUnit): readonly TaskState[] {
	return tasks.map(task => job.tasks.get(task)).filter(task => task !== undefined).filter(({avoided}) => avoided.length > 0);
}
