/** Prefers, among workers that have room now, those whose speed and neighbours suit a unit. Without beliefs no order changes. */
import {findSpeedStep, isSlow} from '#pace';
import {kindOf, type Conflicts} from './pace.js';
import type {Placement} from './place.js';
import type {Pool, PoolWorker} from './pool.js';
import type {AgentName} from './types.js';
import type {SchedulingUnit} from './units.js';

/** Marks a unit whose tasks are to be kept apart from another kind. */
export function markKindToKeepApart(unit: SchedulingUnit, conflicts: Conflicts): SchedulingUnit {
	const kind = conflicts.size === 0 ? undefined : kindOf(unit.job.submission.queue.name, unit.step);
	return kind !== undefined && conflicts.has(kind) ? {...unit, kindToKeepApart: kind} : unit;
}

/** Whether tasks of the unit and tasks on the worker are to be kept apart. */
function isConflicting({kindToKeepApart}: SchedulingUnit, {conflicting}: PoolWorker): boolean {
	return kindToKeepApart !== undefined && conflicting.has(kindToKeepApart);
}

export function hasSamePlaces(first: readonly Placement[], second: readonly Placement[]): boolean {
	return first.length === second.length && first.every(({task, agent}, index) => task === second[index]?.task && agent === second[index].agent);
}

/**
Adds choices without slow workers, and without conflicting neighbours, before the given ones. A gang takes the first choice that has room for it.

Addresses workers that turn slow for some seconds, on which a gang is as slow as its slowest member, and tasks that slow each other down.
*/
export function preferSuitable(unit: SchedulingUnit, choices: ReadonlyArray<readonly PoolWorker[]>): ReadonlyArray<readonly PoolWorker[]> {
	const [all = []] = choices;
	const usual = all.filter(({speed}) => !isSlow(speed));
	const apart = usual.filter(candidate => !isConflicting(unit, candidate));
	return [...(apart.length < usual.length ? [apart] : []), ...(usual.length < all.length ? [usual] : []), ...choices];
}

/** Orders workers for single tasks: without conflicting neighbours first, then slow ones last, then fast ones first for work that is close to its objective. */
export function compareSuitability(unit: SchedulingUnit, first: PoolWorker, second: PoolWorker): number {
	return Number(isConflicting(unit, first)) - Number(isConflicting(unit, second))
		|| Number(isSlow(first.speed)) - Number(isSlow(second.speed))
		|| (unit.isAtRisk ? compareSpeed(first, second) : 0);
}

/** Orders workers by speed, fast ones first; speeds within one step are equal. */
export function compareSpeed(first: PoolWorker, second: PoolWorker): number {
	return findSpeedStep(second.speed) - findSpeedStep(first.speed);
}

/** Lists the workers from each speed step on, the highest first. */
export function groupFromSpeed(workers: readonly PoolWorker[]): ReadonlyArray<Readonly<{slowest: number; workers: readonly PoolWorker[]}>> {
	const steps = [...new Set(workers.map(({speed}) => findSpeedStep(speed)))].toSorted((first, second) => second - first);
	return steps.length <= 1
		? [{slowest: steps[0] ?? 0, workers}]
		: steps.map(slowest => ({slowest, workers: workers.filter(({speed}) => findSpeedStep(speed) >= slowest)}));
}

/** Records in the pool which kinds are to be kept apart from a unit that was placed in this pass, or whose room is claimed. */
export function addConflicts(pool: Pool, agents: readonly AgentName[], {kindToKeepApart}: Pick<SchedulingUnit, 'kindToKeepApart'>, conflicts: Conflicts): Pool {
	const added = kindToKeepApart === undefined ? undefined : conflicts.get(kindToKeepApart);
	if (added === undefined) {
		return pool;
	}

	let next = pool;
	for (const agent of new Set(agents)) {
		const current = next.get(agent);
		next = current === undefined ? next : next.set(agent, {...current, conflicting: new Set([...current.conflicting, ...added])});
	}

	return next;
}
