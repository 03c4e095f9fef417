/**
Limits the stops of long-running work, which does not end by itself.

Addresses a pool that long-running work of a lower rank holds completely, in which a team's guarantee could otherwise never be reclaimed.
*/
import {assertNever} from '#core';
import {parseTaskName} from '#jobs';
import type {Pool, PlacedRun} from './pool.js';
import type {SchedulingUnit} from './units.js';

/**
Which runs of long-running steps may be stopped for a unit.

- `none`: no such run.
- `within-maximum-unavailable`: so many of each step that no more of its tasks are away than the step permits, those counted that are away for other causes.
- `any`: as many as the unit needs.
*/
export type LongRunningLimit = 'none' | 'within-maximum-unavailable' | 'any';

/** Lists the limits to search under, one after the other: a later one applies only if nothing was found under the earlier ones. Work within a guarantee goes before what a step permits, since a guarantee can always be reclaimed. */
export function listLongRunningLimits({rank}: Pick<SchedulingUnit, 'rank'>, pool: Pool): readonly LongRunningLimit[] {
	const isNeeded = rank === 0 && pool.some(({runs}) => runs.some(({step}) => step.isLongRunning));
	return isNeeded ? ['none', 'within-maximum-unavailable', 'any'] : ['none'];
}

/** Selects the runs that may be stopped together with the `chosen` ones, in the given order. */
export function selectStoppable(runs: readonly PlacedRun[], chosen: readonly PlacedRun[], pool: Pool, limit: LongRunningLimit): readonly PlacedRun[] {
	switch (limit) {
		case 'none': {
			return runs.filter(({step}) => !step.isLongRunning);
		}

		case 'within-maximum-unavailable': {
			return selectWithinMaximum(runs, chosen, pool);
		}

		case 'any': {
			return runs;
		}

		default: {
			return assertNever(limit);
		}
	}
}

function selectWithinMaximum(runs: readonly PlacedRun[], chosen: readonly PlacedRun[], pool: Pool): readonly PlacedRun[] {
	const room = new Map<string, number>();
	const stoppedGangs = new Set<string>();
	const take = (run: PlacedRun): boolean => {
		if (!run.step.isLongRunning) {
			return true;
		}

		const key = nameStep(run);
		// The stop of one member ends its whole gang, which then costs nothing more.
		if (stoppedGangs.has(key)) {
			return true;
		}

		const available = room.get(key) ?? run.step.maximumUnavailable - countAway(run, pool);
		const count = run.step.isGang ? run.step.count : 1;
		if (count > available) {
			room.set(key, available);
			return false;
		}

		room.set(key, available - count);
		if (run.step.isGang) {
			stoppedGangs.add(key);
		}

		return true;
	};

	for (const run of chosen) {
		take(run);
	}

	return runs.filter(run => take(run));
}

function nameStep({task}: PlacedRun): string {
	const {job, occurrence, step} = parseTaskName(task);
	return `${job} ${occurrence} ${step}`;
}

/** Counts the tasks of the run's step that do not run on a sound worker, for whatever cause. */
function countAway({job, task}: PlacedRun, pool: Pool): number {
	const {occurrence, step} = parseTaskName(task);
	const names = job.taskNames.get(occurrence)?.[step] ?? [];
	return names.filter(name => {
		const run = job.tasks.get(name)?.run;
		const worker = run === undefined ? undefined : pool.get(run.agent)?.worker;
		return run?.stage !== 'running' || worker?.contact !== 'attached' || !worker.snapshot.isResponsive;
	}).length;
}
