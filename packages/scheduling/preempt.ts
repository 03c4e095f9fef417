import type {MonotonicTime} from '#core';
import {
	add, countFitting, subtract, type Board, type BoardWorker, type PlacedRun,
} from './board.js';
import {
	affordableLossCoreSeconds, cheapLossMilliseconds, maximumPreemptions, preemptionPatienceMilliseconds, rackWorthCoreSeconds,
} from './constants.js';
import {
	countPlaced, limitOf, listCandidates, listRacks, type Shares,
} from './place.js';
import {lossOfRun} from './loss.js';
import {needOf} from './state.js';
import type {AgentName} from './types.js';
import type {Unit} from './units.js';

/** Runs to stop so that the unit fits, and the workers to keep free for it meanwhile. */
export type Preemption = Readonly<{victims: readonly PlacedRun[]; shares: Shares}>;

type Offer = Readonly<{agent: AgentName; fitting: number; cost: number; victims: readonly PlacedRun[]}>;

/** Finds the cheapest runs of higher ranks whose stop makes room for the unit's tasks. Runs that are being stopped already cost nothing. */
export function findPreemption(unit: Unit, count: number, board: Board, monotonic: MonotonicTime): Preemption | undefined {
	const candidates = listCandidates(unit, board);
	const priceOf = ({victims}: Preemption, penalty: number) => victims.reduce((total, victim) => total + lossOf(victim, monotonic), penalty);
	const racks = unit.step.prefersOneRack ? listRacks(candidates) : [];
	const offers = [
		...racks.map(rack => ({found: findWithin(unit, count, rack, monotonic), penalty: 0})),
		{found: findWithin(unit, count, candidates, monotonic), penalty: unit.step.prefersOneRack ? rackWorthCoreSeconds : 0},
	].flatMap(({found, penalty}) => found === undefined ? [] : [{found, price: priceOf(found, penalty)}]);
	return offers.toSorted((first, second) => first.price - second.price)[0]?.found;
}

function findWithin(unit: Unit, count: number, candidates: readonly BoardWorker[], monotonic: MonotonicTime): Preemption | undefined {
	const offers = candidates
		.map(candidate => makeOffer(unit, count, candidate, monotonic))
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

function makeOffer(unit: Unit, count: number, candidate: BoardWorker, monotonic: MonotonicTime): Offer {
	const limit = Math.min(count, limitOf(unit, candidate));
	const reclaimable = candidate.runs.filter(run => run.run.stage === 'stopping' || mayPreempt(unit, run, monotonic));
	const free = reclaimable.reduce((total, {need}) => add(total, need), candidate.free);
	const fitting = countFitting(free, needOf(unit.step), limit);
	const victims = pickVictims(unit, fitting, candidate, monotonic);
	return {
		agent: candidate.worker.agent, fitting, victims, cost: victims.reduce((total, victim) => total + costOf(victim, monotonic), 0),
	};
}

/** Stops the cheapest runs first and no more than needed. */
function pickVictims(unit: Unit, share: number, {runs, free}: BoardWorker, monotonic: MonotonicTime): readonly PlacedRun[] {
	const need = needOf(unit.step);
	const fits = (available: typeof free) => countFitting(available, need, share) >= share;
	let available = runs.filter(({run}) => run.stage === 'stopping').reduce((total, victim) => add(total, victim.need), free);
	const victims: PlacedRun[] = [];
	const stoppable = runs.filter(candidate => candidate.run.stage !== 'stopping' && mayPreempt(unit, candidate, monotonic));
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

/** Work within a guarantee may stop any work of a higher rank once it has waited a little; other work only what loses little. */
function mayPreempt({rank, waitingSince}: Unit, victim: PlacedRun, monotonic: MonotonicTime): boolean {
	if (victim.rank <= rank || victim.step.isLongRunning) {
		return false;
	}

	if (rank > 0 && victim.job.preemptions >= maximumPreemptions) {
		return false;
	}

	const isCheap = victim.step.isCheckpointing || monotonic - victim.run.startedAt < cheapLossMilliseconds;
	const isPatienceOver = monotonic - waitingSince >= preemptionPatienceMilliseconds;
	switch (rank) {
		case 0: {
			return isCheap || isPatienceOver;
		}

		case 1: {
			return victim.rank > 1 && (isCheap || (isPatienceOver && lossOf(victim, monotonic) <= affordableLossCoreSeconds));
		}

		default: {
			return isCheap;
		}
	}
}

function isAffordable({rank}: Unit, victims: readonly PlacedRun[], monotonic: MonotonicTime): boolean {
	return rank === 0 || victims.reduce((total, victim) => total + lossOf(victim, monotonic), 0) <= affordableLossCoreSeconds;
}

/** Stopping one member ends its gang. */
function lossOf({step, run}: PlacedRun, monotonic: MonotonicTime): number {
	return lossOfRun(run, step, monotonic) * (step.isGang ? step.count : 1);
}

/** Order of victims: those that lose little first, and of these the least urgent. */
function costOf(victim: PlacedRun, monotonic: MonotonicTime): number {
	return (lossOf(victim, monotonic) + (restartCoreSeconds * (1 + victim.job.preemptions))) / Math.max(1, victim.rank);
}

/** Cost of any stop, so that fewer are preferred. */
const restartCoreSeconds = 20;

