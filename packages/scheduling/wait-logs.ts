/** Periodically logs why work waits, so that a late job can be explained from the logs. */
import {assertNever, type MonotonicTime} from '#core';
import {withReclaimableRoom, type Pool, type PoolWorker} from './pool.js';
import {waitingLogMilliseconds, maximumWaitingLogs} from './constants.js';
import {
	countPlaced, distributeTasks, listCandidates, listEligible, listHeldByZones, mayWaitForRack,
} from './place.js';
import type {SchedulerTransition} from './runs.js';
import {replaceJob} from './state.js';
import type {SchedulerEffect, SchedulerState} from './types.js';
import type {SchedulingUnit} from './units.js';

/**
Reason why a unit does not start.

- `no-worker`: no usable worker provides the service and the label.
- `larger-than-pool`: the unit would not fit on all workers that it may use, even if they were idle.
- `beside-lasting-work`: the unit would fit if they were idle, but not beside their runs that last until their jobs are cancelled.
- `wants-rack`: the unit fits elsewhere but still waits for a single rack or the rack of its data.
- `wants-idle-worker`: a worker crashed at an earlier start, so that the unit waits for one without other work.
- `zone-closed`: only workers of zones that the operators closed have room, or are large enough.
- `wants-last-attempt`: the last attempt of another task decides whether the job can complete.
- `no-room`: other runs occupy the workers that the unit could use.
*/
export const waitReasons = [
	'no-worker', 'larger-than-pool', 'beside-lasting-work', 'wants-rack', 'wants-idle-worker', 'wants-last-attempt', 'zone-closed', 'no-room',
] as const;
export type WaitReason = typeof waitReasons[number];

/** Whether the unit would fit with the workers of closed zones, now or once their runs have ended, and does not without them. */
function isHeldByClosedZones(unit: SchedulingUnit, open: readonly PoolWorker[], held: readonly PoolWorker[]): boolean {
	const needed = countNeeded(unit);
	const changes = [(candidate: PoolWorker) => candidate, withReclaimableRoom];
	return changes.some(change => {
		const canFit = (workers: readonly PoolWorker[]) => countPlaced(distributeTasks(unit, workers.map(worker => change(worker)))) >= needed;
		return !canFit(open) && canFit([...open, ...held]);
	});
}

/** Number of tasks that start together. */
function countNeeded({step, tasks}: SchedulingUnit): number {
	return step.isGang ? tasks.length : 1;
}

function findWaitReason(unit: SchedulingUnit, candidates: readonly PoolWorker[], monotonic: MonotonicTime): Exclude<WaitReason, 'zone-closed'> {
	const needed = countNeeded(unit);
	if (unit.isHeldBack) {
		return 'wants-last-attempt';
	}

	if (unit.isolation === 'idle-worker') {
		return 'wants-idle-worker';
	}

	if (candidates.length === 0) {
		return 'no-worker';
	}

	if (countPlaced(distributeTasks(unit, candidates.map(candidate => withReclaimableRoom({...candidate, runs: []})))) < needed) {
		return 'larger-than-pool';
	}

	if (countPlaced(distributeTasks(unit, candidates.map(candidate => withReclaimableRoom(candidate)))) < needed) {
		return 'beside-lasting-work';
	}

	const hasRackPreference = unit.step.prefersOneRack || unit.step.dataRack !== undefined;
	return hasRackPreference && mayWaitForRack(unit, monotonic) && countPlaced(distributeTasks(unit, candidates)) >= needed ? 'wants-rack' : 'no-room';
}

/** Logs the units that still wait after a pass, each job at most once per interval. */
export function logWaiting(state: SchedulerState, units: readonly SchedulingUnit[], pool: Pool, monotonic: MonotonicTime): SchedulerTransition {
	let next = state;
	const effects: SchedulerEffect[] = [];
	for (const unit of units) {
		const job = next.jobs.get(unit.job.submission.job);
		if (effects.length < maximumWaitingLogs && job !== undefined && monotonic - Math.max(job.changedAt, job.waitLoggedAt) >= waitingLogMilliseconds) {
			effects.push({kind: 'log', event: 'work-waits', fields: describeWait(unit, pool, monotonic)});
			next = replaceJob(next, {...job, waitLoggedAt: monotonic});
		}
	}

	return {state: next, effects};
}

/** Tells why a unit does not start on the workers of the pool. */
export function explainWait(unit: SchedulingUnit, pool: Pool, monotonic: MonotonicTime): WaitReason {
	const held = listHeldByZones(unit, pool);
	const isHeld = held.length > 0 && isHeldByClosedZones(unit, listEligible(unit, pool), held);
	return isHeld ? 'zone-closed' : findWaitReason(unit, listCandidates(unit, pool), monotonic);
}

function describeWait(unit: SchedulingUnit, pool: Pool, monotonic: MonotonicTime): Readonly<Record<string, unknown>> {
	const candidates = listCandidates(unit, pool);
	const held = listHeldByZones(unit, pool);
	const reason = explainWait(unit, pool, monotonic);
	const common = {
		job: unit.job.submission.job, step: unit.stepIndex, tasks: unit.tasks.length, rank: unit.rank, waitedMilliseconds: Math.round(monotonic - unit.waitingSince), reason,
	};
	switch (reason) {
		case 'no-worker': {
			return {
				...common, service: unit.queue.service, requiredLabel: unit.step.requiredLabel, workers: pool.size,
			};
		}

		case 'zone-closed': {
			return {
				...common,
				usableWorkers: candidates.length,
				workersInClosedZones: held.length,
				zones: [...new Set(held.map(({worker}) => worker.snapshot.zone))],
			};
		}

		case 'larger-than-pool':
		case 'beside-lasting-work':
		case 'wants-rack':
		case 'wants-idle-worker':
		case 'wants-last-attempt':
		case 'no-room': {
			return {
				...common,
				usableWorkers: candidates.length,
				freeAccelerators: candidates.reduce((total, {free}) => total + free.accelerators, 0),
				neededAccelerators: unit.tasks.length * unit.step.accelerators,
				isLate: unit.isLate,
				isLong: unit.isLong,
			};
		}

		default: {
			return assertNever(reason);
		}
	}
}
