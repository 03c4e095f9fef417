/** Tells why workers were passed over for a unit. */
import {isSlow} from '#pace';
import type {MonotonicTime, WorkerId} from '#core';
import {countFitting, type Pool, type PoolWorker} from './pool.js';
import {countAllowedTasks, listCandidates} from './place.js';
import {resourcesOf} from './state.js';
import type {AgentName} from './types.js';
import type {SchedulingUnit} from './units.js';

/**
Why a worker gets no task of a unit, or no further one.

- `other-service`, `missing-label`: the worker does not provide the step's service or label.
- `closed-zone`: the operators closed its zone, and nothing else keeps it from getting tasks.
- `not-reporting`: its agent does not report it.
- `not-responsive`, `draining`: as its agent reports.
- `avoided`: tasks failed there, so that it gets no starts for a while.
- `unsettled`: an unexpected run, a late acknowledgement or a run that may crash it bars starts.
- `reserved`: its room is held for other work, or other work of this pass takes it first.
- `no-room`: its runs leave no room for a task.
- `limit-per-worker`: it has room, and as many tasks of the step as the limit allows.
- `share-limit`: work that cannot save its progress is limited to a share of the workers.
- `kept-apart`: tasks there and those of the step slow each other down.
- `slow`, `unstable`: it is believed to be slow, or lately left, came back or announced that it leaves.
- `less-suitable`: it has room, and others fit better or are in the preferred rack.
*/
export const passedOverReasons = [
	'other-service',
	'missing-label',
	'closed-zone',
	'not-reporting',
	'not-responsive',
	'draining',
	'avoided',
	'unsettled',
	'reserved',
	'no-room',
	'limit-per-worker',
	'share-limit',
	'kept-apart',
	'slow',
	'unstable',
	'less-suitable',
] as const;
export type PassedOverReason = typeof passedOverReasons[number];

/** Workers that were passed over for one reason, and the first of them. */
export type PassedOver = Readonly<{reason: PassedOverReason; workers: number; examples: readonly WorkerId[]}>;

/** Workers that are named for one reason; the answer passes between entries. */
const maximumExamples = 20;

export type PassedOverSearch = Readonly<{
	unit: SchedulingUnit;
	/** Workers when the pass reached the unit. */
	pool: Pool;
	/** Workers before the pass, without any room held for other work. */
	initialPool: Pool;
	/** Number of the unit's tasks that start on each worker. */
	chosen: ReadonlyMap<AgentName, number>;
	monotonic: MonotonicTime;
}>;

/** Counts the workers that were passed over by reason, in the order of the reasons. */
export function listPassedOver(search: PassedOverSearch): readonly PassedOver[] {
	const {unit, pool, chosen} = search;
	const candidates = new Set(listCandidates(unit, pool).map(({worker}) => worker.agent));
	const remaining = unit.tasks.length - [...chosen.values()].reduce((total, count) => total + count, 0);
	const byReason = new Map<PassedOverReason, WorkerId[]>();
	for (const candidate of pool.values()) {
		const started = chosen.get(candidate.worker.agent) ?? 0;
		// Of the workers that were chosen, only those are listed that would have room for more tasks.
		const reason = started > 0 ? findLimitReason(search, candidate, started, remaining) : findReason(search, candidate, candidates);
		if (reason !== undefined) {
			byReason.set(reason, [...byReason.get(reason) ?? [], candidate.worker.snapshot.worker]);
		}
	}

	return passedOverReasons.flatMap(reason => {
		const workers = byReason.get(reason) ?? [];
		return workers.length === 0 ? [] : [{reason, workers: workers.length, examples: workers.slice(0, maximumExamples)}];
	});
}

function findLimitReason({unit}: PassedOverSearch, candidate: PoolWorker, started: number, remaining: number): PassedOverReason | undefined {
	return remaining > 0 && unit.step.maximumPerWorker > 0 && started >= countAllowedTasks(unit, candidate) && countFitting(candidate.free, resourcesOf(unit.step), started + 1) > started
		? 'limit-per-worker'
		: undefined;
}

function findReason(search: PassedOverSearch, candidate: PoolWorker, candidates: ReadonlySet<AgentName>): PassedOverReason {
	const {unit: {queue, step}, monotonic} = search;
	const {contact, snapshot, health} = candidate.worker;
	if (snapshot.service !== queue.service) {
		return 'other-service';
	}

	if (step.requiredLabel !== undefined && !snapshot.labels.includes(step.requiredLabel)) {
		return 'missing-label';
	}

	if (candidate.isHeldByZone) {
		return 'closed-zone';
	}

	if (candidate.isUsable) {
		return findReasonOfUsable(search, candidate, candidates);
	}

	if (contact !== 'attached') {
		return 'not-reporting';
	}

	if (!snapshot.isResponsive) {
		return 'not-responsive';
	}

	if (snapshot.state === 'draining') {
		return 'draining';
	}

	if (health.avoidedUntil > monotonic) {
		return 'avoided';
	}

	return search.initialPool.get(candidate.worker.agent)?.isUsable === true ? 'reserved' : 'unsettled';
}

function findReasonOfUsable({unit, initialPool}: PassedOverSearch, candidate: PoolWorker, candidates: ReadonlySet<AgentName>): PassedOverReason {
	const need = resourcesOf(unit.step);
	const {agent} = candidate.worker;
	if (countFitting(candidate.free, need, 1) === 0) {
		const initial = initialPool.get(agent);
		return initial !== undefined && countFitting(initial.free, need, 1) > 0 ? 'reserved' : 'no-room';
	}

	if (countAllowedTasks(unit, candidate) === 0) {
		return 'limit-per-worker';
	}

	if (!candidates.has(agent)) {
		return 'share-limit';
	}

	if (unit.kindToKeepApart !== undefined && candidate.conflicting.has(unit.kindToKeepApart)) {
		return 'kept-apart';
	}

	if (isSlow(candidate.speed)) {
		return 'slow';
	}

	return candidate.isUnstable ? 'unstable' : 'less-suitable';
}
