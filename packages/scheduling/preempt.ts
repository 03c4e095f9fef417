import {assertNever, type MonotonicTime} from '#core';
import {parseTaskName} from '#jobs';
import {
	add, countFitting, subtract, type Pool, type PoolWorker, type PlacedRun,
} from './pool.js';
import {
	affordableLossFactors, lowestUrgentRank, negligibleLossMilliseconds, endingSoonMilliseconds, freshProgressMilliseconds, longRunningVictimCoreSeconds,
	lateValueShare, maximumPreemptions, preemptionDelayMilliseconds, rackPreferenceCoreSeconds, urgentVictimCoreSeconds,
} from './constants.js';
import {
	countAllowedTasks, groupByRack, listCandidates, listRacksToWaitFor, type TaskCounts,
} from './place.js';
import {selectStoppable, type LongRunningLimit} from './long-running.js';
import {measureLoss, estimateWork} from './loss.js';
import {estimateRemaining} from './remaining.js';
import {resourcesOf} from './state.js';
import type {AgentName} from './types.js';
import type {SchedulingUnit} from './units.js';

/** Runs to stop so that the unit fits, and the number of its tasks for which each worker then has room. */
export type Preemption = Readonly<{victims: readonly PlacedRun[]; taskCounts: TaskCounts}>;

/** `stoppable` are the runs that may be stopped, the cheapest first. */
type PreemptionOption = Readonly<{candidate: PoolWorker; stoppable: readonly PlacedRun[]; fitting: number; cost: number}>;

/** What a search for victims depends on. */
export type VictimSearch = Readonly<{unit: SchedulingUnit; pool: Pool; limit: LongRunningLimit; monotonic: MonotonicTime}>;

/** Finds the cheapest victims of a lower rank whose stop makes room for the unit's tasks. Runs that are being stopped or end soon cost nothing. */
export function findPreemption(search: VictimSearch, count: number): Preemption | undefined {
	const {unit, pool, monotonic} = search;
	const options = listCandidates(unit, pool)
		.map(candidate => createOption(search, count, candidate, []))
		.filter(({fitting}) => fitting > 0)
		.toSorted((first, second) => (first.cost / first.fitting) - (second.cost / second.fitting));
	const racks = unit.step.prefersOneRack ? groupByRack(options, ({candidate}) => candidate) : [];
	const isLimitedToRack = unit.step.prefersOneRack && listRacksToWaitFor(unit, listCandidates(unit, pool), monotonic).length > 0;
	const preemptions = [
		...racks.map(rack => ({found: findWithin(search, count, rack), penalty: 0})),
		...(isLimitedToRack ? [] : [{found: findWithin(search, count, options), penalty: unit.step.prefersOneRack ? rackPreferenceCoreSeconds : 0}]),
	].flatMap(({found, penalty}) => found === undefined ? [] : [{found, totalCost: penalty + measureTotalCost(found.victims, monotonic)}]);
	return preemptions.toSorted((first, second) => first.totalCost - second.totalCost)[0]?.found;
}

/** Takes the cheapest options first; `options` are in that order. */
function findWithin(search: VictimSearch, count: number, options: readonly PreemptionOption[]): Preemption | undefined {
	const {unit, limit, monotonic} = search;
	const taskCounts = new Map<AgentName, number>();
	const victims: PlacedRun[] = [];
	let remaining = count;
	for (const found of options) {
		if (remaining === 0) {
			break;
		}

		// What a step permits is shared by all workers, so that earlier victims leave less of it.
		const {candidate, stoppable, fitting} = limit === 'within-maximum-unavailable' ? createOption(search, remaining, found.candidate, victims) : found;
		const taskCount = Math.min(remaining, fitting);
		if (taskCount === 0) {
			continue;
		}

		victims.push(...pickVictims(search, taskCount, candidate, stoppable));
		taskCounts.set(candidate.worker.agent, taskCount);
		remaining -= taskCount;
	}

	const isEnough = unit.step.isGang ? remaining === 0 : taskCounts.size > 0;
	return isEnough && isAffordable(unit, victims, monotonic) ? {victims, taskCounts} : undefined;
}

function createOption(search: VictimSearch, count: number, candidate: PoolWorker, chosen: readonly PlacedRun[]): PreemptionOption {
	const {unit, monotonic} = search;
	const limit = Math.min(count, countAllowedTasks(unit, candidate));
	const stoppable = listStoppable(search, candidate, chosen);
	const reclaimable = [...candidate.runs.filter(run => isEndingSoon(unit, run, monotonic)), ...stoppable];
	const free = reclaimable.reduce((total, {need}) => add(total, need), candidate.free);
	const fitting = countFitting(free, resourcesOf(unit.step), limit);
	const cost = pickVictims(search, fitting, candidate, stoppable).reduce((total, victim) => total + measureCost(victim, monotonic), 0);
	return {
		candidate, stoppable, fitting, cost,
	};
}

/** Lists the runs of a worker that may be stopped, the cheapest first, and long-running ones last. */
function listStoppable({unit, pool, limit, monotonic}: VictimSearch, {runs}: PoolWorker, chosen: readonly PlacedRun[]): readonly PlacedRun[] {
	const stoppable = runs
		.filter(run => !isEndingSoon(unit, run, monotonic) && mayPreempt(unit, run, monotonic))
		.map(run => ({run, cost: measureCost(run, monotonic)}))
		.toSorted((first, second) => first.cost - second.cost);
	return selectStoppable(stoppable.map(({run}) => run), chosen, pool, limit);
}

/** Selects the cheapest victims, then drops those that turn out not to be needed. */
function pickVictims({unit, monotonic}: VictimSearch, taskCount: number, {runs, free}: PoolWorker, stoppable: readonly PlacedRun[]): readonly PlacedRun[] {
	const need = resourcesOf(unit.step);
	const fits = (available: typeof free) => countFitting(available, need, taskCount) >= taskCount;
	let available = runs.filter(run => isEndingSoon(unit, run, monotonic)).reduce((total, victim) => add(total, victim.need), free);
	const victims: PlacedRun[] = [];
	for (const run of stoppable) {
		if (fits(available)) {
			break;
		}

		available = add(available, run.need);
		victims.push(run);
	}

	let surplus = available;
	return victims.filter(victim => {
		const without = subtract(surplus, victim.need);
		if (fits(without)) {
			surplus = without;
			return false;
		}

		return true;
	});
}

/** Whether a run frees its resources soon without being preempted. Work within a guarantee relies on estimates only until it may preempt, and never where a stop discards nothing. */
function isEndingSoon({rank, waitingSince}: SchedulingUnit, {run, step}: PlacedRun, monotonic: MonotonicTime): boolean {
	switch (run.stage) {
		case 'stopping': {
			return true;
		}

		case 'starting': {
			return false;
		}

		case 'running': {
			const mayWait = rank > 0 || (!step.isCheckpointing && monotonic - waitingSince < preemptionDelayMilliseconds);
			const hasPace = run.percent > run.paceBaseline.percent && monotonic - run.progressedAt < freshProgressMilliseconds;
			return mayWait && hasPace && estimateRemaining(run, step, monotonic) <= endingSoonMilliseconds;
		}

		default: {
			return assertNever(run.stage);
		}
	}
}

/** Whether the unit may stop a run, which must have a lower rank; long-running work is stopped only for a guarantee. Work within a guarantee may stop any such run after a short wait, other work only if it is at risk of being late and the loss is affordable. A negligible loss needs neither, unless the run is of urgent work. */
function mayPreempt(unit: SchedulingUnit, victim: PlacedRun, monotonic: MonotonicTime): boolean {
	const {rank, waitingSince, isAtRisk} = unit;
	if (victim.rank <= rank) {
		return false;
	}

	if (victim.step.isLongRunning) {
		return rank === 0 && monotonic - waitingSince >= preemptionDelayMilliseconds;
	}

	const isProtected = rank > lowestUrgentRank || (rank > 0 && !victim.step.isCheckpointing);
	if (isProtected && victim.preemptions >= maximumPreemptions) {
		return false;
	}

	const isLossNegligible = victim.step.isCheckpointing || monotonic - victim.run.startedAt < negligibleLossMilliseconds;
	if (isLossNegligible && victim.rank > lowestUrgentRank) {
		return true;
	}

	return rank === 0
		? monotonic - waitingSince >= preemptionDelayMilliseconds
		: isAtRisk && measureVictimLoss(victim, monotonic) <= findAffordableLoss(unit);
}

function isAffordable(unit: SchedulingUnit, victims: readonly PlacedRun[], monotonic: MonotonicTime): boolean {
	return unit.rank === 0 || measureTotalLoss(victims, monotonic) <= findAffordableLoss(unit);
}

/** Work in core-seconds that a unit beyond its guarantee may discard in order to start. */
function findAffordableLoss({rank, step, tasks, isLate}: SchedulingUnit): number {
	const factor = rank <= 1 ? affordableLossFactors.urgent : affordableLossFactors.other;
	return estimateWork(step, tasks.length) * factor * (isLate ? lateValueShare : 1);
}

/** Work that the stop of a run discards; stopping one member ends its gang. */
function measureVictimLoss({step, run}: PlacedRun, monotonic: MonotonicTime): number {
	return measureLoss(run, step, monotonic) * (step.isGang ? step.count : 1);
}

/** Work that the stop of all victims discards; each gang counts once. */
function measureTotalLoss(victims: readonly PlacedRun[], monotonic: MonotonicTime): number {
	const counted = new Set<string>();
	let total = 0;
	for (const victim of victims) {
		const {occurrence, step} = parseTaskName(victim.task);
		const gang = `${victim.job.submission.job} ${occurrence} ${step}`;
		total += victim.step.isGang && counted.has(gang) ? 0 : measureVictimLoss(victim, monotonic);
		counted.add(gang);
	}

	return total;
}

function measureTotalCost(victims: readonly PlacedRun[], monotonic: MonotonicTime): number {
	return measureTotalLoss(victims, monotonic) + (victims.filter(({step}) => step.isLongRunning).length * longRunningVictimCoreSeconds);
}

/** Cost by which victims are selected: low for a small loss and for a low rank. Urgent work has so little slack that a stop makes it late. */
function measureCost(victim: PlacedRun, monotonic: MonotonicTime): number {
	const loss = measureVictimLoss(victim, monotonic) + (restartCoreSeconds * (1 + victim.preemptions));
	if (victim.step.isLongRunning) {
		return loss + longRunningVictimCoreSeconds;
	}

	return victim.rank <= lowestUrgentRank ? loss + urgentVictimCoreSeconds : loss / victim.rank;
}

/** Fixed cost of any stop, so that fewer stops are preferred. */
const restartCoreSeconds = 20;
