import {assertNever, type MonotonicTime} from '#core';
import {parseTaskName} from '#jobs';
import {
	add, countFitting, subtract, type Pool, type PoolWorker, type PlacedRun,
} from './pool.js';
import {
	affordableLossFactors, negligibleLossMilliseconds, endingSoonMilliseconds, freshProgressMilliseconds, lateValueShare, maximumPreemptions, preemptionDelayMilliseconds, rackPreferenceCoreSeconds,
} from './constants.js';
import {
	countPlaced, remainingLimitOf, listCandidates, listRacks, type TaskCounts,
} from './place.js';
import {lossOfRun, workOf} from './loss.js';
import {estimateRemaining} from './remaining.js';
import {resourcesOf} from './state.js';
import type {AgentName} from './types.js';
import type {SchedulingUnit} from './units.js';

/** Runs to stop so that the unit fits, and the workers to keep free for it meanwhile. */
export type Preemption = Readonly<{victims: readonly PlacedRun[]; shares: TaskCounts}>;

type PreemptionOption = Readonly<{agent: AgentName; fitting: number; cost: number; victims: readonly PlacedRun[]}>;

/** Finds the cheapest runs of higher ranks whose stop makes room for the unit's tasks. Runs that are being stopped or end soon cost nothing. */
export function findPreemption(unit: SchedulingUnit, count: number, board: Pool, monotonic: MonotonicTime): Preemption | undefined {
	const candidates = listCandidates(unit, board);
	const priceOf = ({victims}: Preemption, penalty: number) => penalty + lossOfAll(victims, monotonic);
	const racks = unit.step.prefersOneRack ? listRacks(candidates) : [];
	const offers = [
		...racks.map(rack => ({found: findWithin(unit, count, rack, monotonic), penalty: 0})),
		{found: findWithin(unit, count, candidates, monotonic), penalty: unit.step.prefersOneRack ? rackPreferenceCoreSeconds : 0},
	].flatMap(({found, penalty}) => found === undefined ? [] : [{found, price: priceOf(found, penalty)}]);
	return offers.toSorted((first, second) => first.price - second.price)[0]?.found;
}

function findWithin(unit: SchedulingUnit, count: number, candidates: readonly PoolWorker[], monotonic: MonotonicTime): Preemption | undefined {
	const offers = candidates
		.map(candidate => createOption(unit, count, candidate, monotonic))
		.filter(({fitting}) => fitting > 0)
		.toSorted((first, second) => (first.cost / first.fitting) - (second.cost / second.fitting));
	const shares = new Map<AgentName, number>();
	const victims: PlacedRun[] = [];
	let rest = count;
	for (const {agent, fitting} of offers) {
		if (rest === 0) {
			break;
		}

		const share = Math.min(rest, fitting);
		const candidate = candidates.find(({worker}) => worker.agent === agent);
		if (candidate !== undefined) {
			victims.push(...pickVictims(unit, share, candidate, monotonic));
			shares.set(agent, share);
			rest -= share;
		}
	}

	const isEnough = unit.step.isGang ? countPlaced(shares) >= count : countPlaced(shares) > 0;
	return isEnough && isAffordable(unit, victims, monotonic) ? {victims, shares} : undefined;
}

function createOption(unit: SchedulingUnit, count: number, candidate: PoolWorker, monotonic: MonotonicTime): PreemptionOption {
	const limit = Math.min(count, remainingLimitOf(unit, candidate));
	const reclaimable = candidate.runs.filter(run => isEndingSoon(unit, run, monotonic) || mayPreempt(unit, run, monotonic));
	const free = reclaimable.reduce((total, {need}) => add(total, need), candidate.free);
	const fitting = countFitting(free, resourcesOf(unit.step), limit);
	const victims = pickVictims(unit, fitting, candidate, monotonic);
	return {
		agent: candidate.worker.agent, fitting, victims, cost: victims.reduce((total, victim) => total + costOf(victim, monotonic), 0),
	};
}

/** Stops the cheapest runs first and no more than needed. */
function pickVictims(unit: SchedulingUnit, share: number, {runs, free}: PoolWorker, monotonic: MonotonicTime): readonly PlacedRun[] {
	const need = resourcesOf(unit.step);
	const fits = (available: typeof free) => countFitting(available, need, share) >= share;
	let available = runs.filter(run => isEndingSoon(unit, run, monotonic)).reduce((total, victim) => add(total, victim.need), free);
	const victims: PlacedRun[] = [];
	const stoppable = runs.filter(candidate => !isEndingSoon(unit, candidate, monotonic) && mayPreempt(unit, candidate, monotonic));
	for (const run of stoppable.toSorted((first, second) => costOf(first, monotonic) - costOf(second, monotonic))) {
		if (fits(available)) {
			break;
		}

		available = add(available, run.need);
		victims.push(run);
	}

	let spare = available;
	return victims.filter(victim => {
		const without = subtract(spare, victim.need);
		if (fits(without)) {
			spare = without;
			return false;
		}

		return true;
	});
}

/** Work within a guarantee does not rely on estimates once its patience is over. */
function isEndingSoon({rank, waitingSince}: SchedulingUnit, {run, step}: PlacedRun, monotonic: MonotonicTime): boolean {
	switch (run.stage) {
		case 'stopping': {
			return true;
		}

		case 'starting': {
			return false;
		}

		case 'running': {
			const mayWait = rank > 0 || monotonic - waitingSince < preemptionDelayMilliseconds;
			const hasPace = run.percent > run.paceFrom.percent && monotonic - run.progressedAt < freshProgressMilliseconds;
			return mayWait && hasPace && estimateRemaining(run, step, monotonic) <= endingSoonMilliseconds;
		}

		default: {
			return assertNever(run.stage);
		}
	}
}

/** Work within a guarantee may stop any work of a higher rank once it has waited a little; other work only what costs less than its own delay. */
function mayPreempt(unit: SchedulingUnit, victim: PlacedRun, monotonic: MonotonicTime): boolean {
	const {rank, waitingSince, isPressed} = unit;
	if (victim.rank <= rank || victim.step.isLongRunning) {
		return false;
	}

	if (rank > 0 && victim.preemptions >= maximumPreemptions) {
		return false;
	}

	if (victim.step.isCheckpointing || monotonic - victim.run.startedAt < negligibleLossMilliseconds) {
		return true;
	}

	return rank === 0
		? monotonic - waitingSince >= preemptionDelayMilliseconds
		: isPressed && lossOf(victim, monotonic) <= affordableLossOf(unit);
}

function isAffordable(unit: SchedulingUnit, victims: readonly PlacedRun[], monotonic: MonotonicTime): boolean {
	return unit.rank === 0 || lossOfAll(victims, monotonic) <= affordableLossOf(unit);
}

/** Work in core-seconds that a unit beyond its guarantee may throw away to start. */
function affordableLossOf({rank, step, tasks, isLate}: SchedulingUnit): number {
	const factor = rank <= 1 ? affordableLossFactors.urgent : affordableLossFactors.other;
	return workOf(step, tasks.length) * factor * (isLate ? lateValueShare : 1);
}

/** Stopping one member ends its gang. */
function lossOf({step, run}: PlacedRun, monotonic: MonotonicTime): number {
	return lossOfRun(run, step, monotonic) * (step.isGang ? step.count : 1);
}

/** Members of one gang count once. */
function lossOfAll(victims: readonly PlacedRun[], monotonic: MonotonicTime): number {
	const counted = new Set<string>();
	let total = 0;
	for (const victim of victims) {
		const {occurrence, step} = parseTaskName(victim.task);
		const gang = `${victim.job.submission.job} ${occurrence} ${step}`;
		total += victim.step.isGang && counted.has(gang) ? 0 : lossOf(victim, monotonic);
		counted.add(gang);
	}

	return total;
}

/** Order of victims: those that lose little first, and of these the least urgent. */
function costOf(victim: PlacedRun, monotonic: MonotonicTime): number {
	return (lossOf(victim, monotonic) + (restartCoreSeconds * (1 + victim.preemptions))) / Math.max(1, victim.rank);
}

/** Cost of any stop, so that fewer are preferred. */
const restartCoreSeconds = 20;

