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

/** How many tasks of a unit each worker takes. */
export type TaskCounts = ReadonlyMap<AgentName, number>;

/** Workers that may run the unit's tasks at all. */
function listEligible({step, queue}: SchedulingUnit, board: Pool): readonly PoolWorker[] {
	return [...board.values()].filter(({worker: {snapshot}, isUsable}) => isUsable
		&& snapshot.service === queue.service
		&& (step.requiredLabel === undefined || snapshot.labels.includes(step.requiredLabel)));
}

/** Workers on which the unit's tasks are placed as far as there is room; long and low work keeps to a share of them. */
export function listCandidates(unit: SchedulingUnit, board: Pool): readonly PoolWorker[] {
	const candidates = listEligible(unit, board);
	return isLowRankWithoutCheckpoints(unit) ? limitToShare(unit, candidates, board) : candidates;
}

/** Places as many of the unit's tasks as fit now; a gang is placed whole or not at all. */
export function placeUnit(unit: SchedulingUnit, board: Pool, monotonic: MonotonicTime): readonly Placement[] {
	const placements = placeAmong(unit, listCandidates(unit, board), board, monotonic);
	if (placements.length > 0 || !isLowRankWithoutCheckpoints(unit) || countRuns(unit) > 0 || !isUtilizationLow(board)) {
		return placements;
	}

	// The shares of long and low work keep room for others, which nobody needs now.
	const least = unit.step.isGang ? unit : {...unit, tasks: unit.tasks.slice(0, 1)};
	return placeAmong(least, listEligible(unit, board), board, monotonic);
}

function placeAmong(unit: SchedulingUnit, candidates: readonly PoolWorker[], board: Pool, monotonic: MonotonicTime): readonly Placement[] {
	return unit.step.isGang ? placeGang(unit, candidates, board, monotonic) : placeTasks(limitToProbeTasks(unit), candidates, board, monotonic);
}

/** Whether the unit should still wait for a rack of its own rather than run slower elsewhere. */
export function mayWaitForRack({rank, step, waitingSince}: SchedulingUnit, monotonic: MonotonicTime): boolean {
	const patience = step.estimatedMilliseconds * rackWaitShare;
	return monotonic - waitingSince < (rank === 0 ? Math.min(patience, guaranteedRackWaitMilliseconds) : patience);
}

/** Groups candidates by rack. */
export function listRacks(candidates: readonly PoolWorker[]): ReadonlyArray<readonly PoolWorker[]> {
	const racks = new Map<string, PoolWorker[]>();
	for (const candidate of candidates) {
		const {rack} = candidate.worker.snapshot;
		racks.set(rack, [...(racks.get(rack) ?? []), candidate]);
	}

	return [...racks.values()];
}

/** How many more tasks of the unit's step one worker may run at once. */
export function remainingLimitOf({step: {maximumPerWorker}, occurrence, stepIndex, job, tasks}: SchedulingUnit, {runs}: PoolWorker): number {
	if (maximumPerWorker === 0) {
		return tasks.length;
	}

	const present = runs.filter(({task}) => {
		const address = parseTaskName(task);
		return address.job === job.submission.job && address.occurrence === occurrence && address.step === stepIndex;
	});
	return Math.max(0, maximumPerWorker - present.length);
}

function placeGang(unit: SchedulingUnit, candidates: readonly PoolWorker[], board: Pool, monotonic: MonotonicTime): readonly Placement[] {
	const {step, tasks} = unit;
	const wanted = isAvoidanceUseful(unit, candidates) ? candidates.filter(candidate => !isAvoided(unit, candidate)) : candidates;
	const preferred = step.dataRack === undefined ? listRacks(wanted) : listRacks(wanted).filter(([first]) => first?.worker.snapshot.rack === step.dataRack);
	if (step.prefersOneRack || step.dataRack !== undefined) {
		const fitting = preferred.map(rack => distributeTasks(unit, rack)).filter(shares => countPlaced(shares) >= tasks.length);
		const best = fitting.toSorted((first, second) => countFreeAccelerators(first, board) - countFreeAccelerators(second, board))[0];
		if (best !== undefined) {
			return assign(tasks, best);
		}

		const couldFit = preferred.some(rack => countPlaced(distributeTasks(unit, rack.map(candidate => withoutRuns(candidate)))) >= tasks.length);
		if (couldFit && mayWaitForRack(unit, monotonic)) {
			return [];
		}
	}

	const shares = distributeTasks(unit, wanted);
	return countPlaced(shares) >= tasks.length ? assign(tasks, shares) : [];
}

function placeTasks(unit: SchedulingUnit, candidates: readonly PoolWorker[], board: Pool, monotonic: MonotonicTime): readonly Placement[] {
	const placements: Placement[] = [];
	let rest = board;
	for (const task of unit.tasks) {
		const agent = placeTask(unit, task, {
			board: rest, monotonic, candidates, placements,
		});
		if (agent !== undefined) {
			rest = allocate(rest, agent, resourcesOf(unit.step));
			placements.push({task, agent});
		}
	}

	return placements;
}

/** Places one task; workers on which it failed are left out while there are others. */
function placeTask(unit: SchedulingUnit, task: TaskName, context: PickContext & Readonly<{placements: readonly Placement[]}>): AgentName | undefined {
	const {board, candidates, placements} = context;
	const avoided = unit.job.tasks.get(task)?.avoided ?? [];
	const open = candidates.filter(({worker: {agent}}) => {
		const present = board.get(agent);
		return present !== undefined
			&& countFitting(present.free, resourcesOf(unit.step), 1) === 1
			&& placements.filter(placement => placement.agent === agent).length < remainingLimitOf(unit, present);
	});
	const trusted = open.filter(({worker}) => !avoided.includes(worker.snapshot.worker));
	const isElsewhere = candidates.some(({worker}) => !avoided.includes(worker.snapshot.worker));
	return pickWorker(unit, isElsewhere ? trusted : open, context)?.worker.agent;
}

type PickContext = Readonly<{board: Pool; monotonic: MonotonicTime; candidates: readonly PoolWorker[]}>;

/** Best fit, in the rack of the data while the unit is patient. */
function pickWorker(unit: SchedulingUnit, open: readonly PoolWorker[], {board, monotonic, candidates}: PickContext): PoolWorker | undefined {
	const {dataRack} = unit.step;
	const isNear = ({worker}: PoolWorker) => worker.snapshot.rack === dataRack;
	const near = dataRack === undefined ? open : open.filter(candidate => isNear(candidate));
	if (near.length === 0 && dataRack !== undefined && candidates.some(candidate => isNear(candidate)) && mayWaitForRack(unit, monotonic)) {
		return undefined;
	}

	const freeOf = ({worker: {agent}}: PoolWorker) => board.get(agent)?.free.accelerators ?? 0;
	return (near.length > 0 ? near : open).toSorted((first, second) => freeOf(first) - freeOf(second))[0];
}

/** Spreads the unit over workers, those with the fewest free accelerators first, so that wide room stays together. */
export function distributeTasks(unit: SchedulingUnit, candidates: readonly PoolWorker[]): TaskCounts {
	const need = resourcesOf(unit.step);
	const shares = new Map<AgentName, number>();
	let rest = unit.tasks.length;
	const ordered = candidates
		.map(candidate => ({candidate, fitting: countFitting(candidate.free, need, Math.min(unit.tasks.length, remainingLimitOf(unit, candidate)))}))
		.filter(({fitting}) => fitting > 0)
		.toSorted((first, second) => first.candidate.free.accelerators - second.candidate.free.accelerators);
	const whole = ordered.find(({fitting}) => fitting >= unit.tasks.length);
	for (const {candidate, fitting} of whole === undefined ? ordered.toSorted((first, second) => second.fitting - first.fitting) : [whole]) {
		const share = Math.min(rest, fitting);
		if (share > 0) {
			shares.set(candidate.worker.agent, share);
			rest -= share;
		}
	}

	return shares;
}

export function countPlaced(shares: TaskCounts): number {
	return [...shares.values()].reduce((total, share) => total + share, 0);
}

export function assign(tasks: readonly TaskName[], shares: TaskCounts): readonly Placement[] {
	const agents = [...shares].flatMap(([agent, share]) => Array.from({length: share}, () => agent));
	return tasks.flatMap((task, index) => {
		const agent = agents[index];
		return agent === undefined ? [] : [{task, agent}];
	});
}

/** The worker as if nothing ran there. */
export function withoutRuns(candidate: PoolWorker): PoolWorker {
	return {...candidate, free: candidate.worker.snapshot.capacity};
}

/** Accelerators that stay free on the chosen workers; less means a tighter fit. */
function countFreeAccelerators(shares: TaskCounts, board: Pool): number {
	return [...shares.keys()].reduce((total, agent) => total + (board.get(agent)?.free.accelerators ?? 0), 0);
}

function isAvoided({job, tasks}: SchedulingUnit, {worker}: PoolWorker): boolean {
	return tasks.some(task => job.tasks.get(task)?.avoided.includes(worker.snapshot.worker) === true);
}

/** Workers on which the gang failed are left out unless the others could never hold it. */
function isAvoidanceUseful(unit: SchedulingUnit, candidates: readonly PoolWorker[]): boolean {
	const others = candidates.filter(candidate => !isAvoided(unit, candidate)).map(candidate => withoutRuns(candidate));
	return countPlaced(distributeTasks(unit, others)) >= unit.tasks.length;
}

