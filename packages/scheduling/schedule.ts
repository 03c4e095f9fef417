/** One scheduling pass: decides which tasks start on which workers and which runs are preempted for them. */
import type {MonotonicTime, CurrentTime} from '#core';
import {
	createPool, reserveWorkers, allocate, type Pool, type PlacedRun,
} from './pool.js';
import {reservationDelayMilliseconds} from './constants.js';
import {
	countPlaced, distributeTasks, withFullCapacity, listCandidates, placeUnit, type Placement,
} from './place.js';
import {findPreemption} from './preempt.js';
import {rankJobs} from './rank.js';
import {
	startRuns, stopRuns, storeJob, type SchedulerTransition,
} from './runs.js';
import {
	findJob, resourcesOf, listStepMembers, withJob, withTask,
} from './state.js';
import type {AgentName, SchedulerEffect, SchedulerState} from './types.js';
import {listSchedulingUnits, type SchedulingUnit} from './units.js';

/** Lowest rank that may preempt other work. */
const lowestPreemptingRank = 2;

type Pass = Readonly<{state: SchedulerState; pool: Pool; effects: readonly SchedulerEffect[]; reservedRanks: ReadonlySet<number>}>;

export function schedule(state: SchedulerState, time: CurrentTime): SchedulerTransition {
	const next = {...state, isScheduleDue: false};
	if (!state.isLoaded || state.configuration === undefined) {
		return {state: next, effects: []};
	}

	const ranks = rankJobs(state);
	let pass: Pass = {
		state: next, pool: createPool(state, ranks, time.monotonic), effects: [], reservedRanks: new Set(),
	};
	for (const unit of listSchedulingUnits(state, ranks, time)) {
		pass = scheduleUnit(pass, unit, time.monotonic);
	}

	return {state: {...pass.state, isScheduleDue: false}, effects: pass.effects};
}

function scheduleUnit(pass: Pass, unit: SchedulingUnit, monotonic: MonotonicTime): Pass {
	const placements = placeUnit(unit, pass.pool, monotonic);
	const placed = placements.length === 0 ? pass : startPlaced(pass, unit, placements, monotonic);
	const remaining = unit.tasks.length - placements.length;
	if (remaining === 0) {
		return placed;
	}

	const preempted = unit.rank <= lowestPreemptingRank ? preempt(placed, unit, remaining, monotonic) : undefined;
	return preempted ?? reserveForUnit(placed, unit, monotonic);
}

/** Starts placed tasks. The first start of a job waits until the store holds that the job is running, so that a later scheduler looks for its runs. */
function startPlaced(pass: Pass, unit: SchedulingUnit, placements: readonly Placement[], monotonic: MonotonicTime): Pass {
	let {pool} = pass;
	for (const {agent} of placements) {
		pool = allocate(pool, agent, resourcesOf(unit.step));
	}

	const job = pass.state.jobs.get(unit.job.submission.job) ?? unit.job;
	const next = {...pass, pool};
	if (job.outcome === 'queued') {
		return apply(next, storeJob(pass.state, {...job, outcome: 'running'}));
	}

	return job.storedVersion === 0
		? next
		: apply(next, startRuns(pass.state, job.submission.job, placements, monotonic), {
			kind: 'log',
			event: 'start-ordered',
			fields: {
				job: job.submission.job,
				queue: unit.queue.name,
				rank: unit.rank,
				step: unit.stepIndex,
				waitedMilliseconds: Math.round(monotonic - unit.waitingSince),
				workers: placements.map(({agent}) => agent),
			},
		});
}

function apply(pass: Pass, {state, effects}: SchedulerTransition, ...further: readonly SchedulerEffect[]): Pass {
	return {...pass, state, effects: [...pass.effects, ...effects, ...further]};
}

/** Preempts work of a lower rank for the unit and allocates the resources to it for the rest of the pass. */
function preempt(pass: Pass, unit: SchedulingUnit, count: number, monotonic: MonotonicTime): Pass | undefined {
	const found = findPreemption(unit, count, pass.pool, monotonic);
	if (found === undefined) {
		return undefined;
	}

	let {pool} = pass;
	for (const [agent, taskCount] of found.taskCounts) {
		for (let index = 0; index < taskCount; index++) {
			pool = allocate(pool, agent, resourcesOf(unit.step));
		}
	}

	const counted = countPreemptions(pass.state, found.victims);
	return apply({...pass, pool}, stopRuns(counted, found.victims.map(({task}) => task), `room for ${unit.job.submission.job} of rank ${unit.rank}`, monotonic));
}

/** Counts a preemption for every stopped task; the stop of one member ends its whole gang. */
function countPreemptions(state: SchedulerState, victims: readonly PlacedRun[]): SchedulerState {
	const stopped = new Set(victims.flatMap(({task, job, step}) => step.isGang ? listStepMembers(job, task) : [task]));
	return [...stopped].reduce((next, name) => {
		const job = findJob(next, name);
		const task = job?.tasks.get(name);
		return job === undefined || task === undefined ? next : withJob(next, withTask(job, name, {...task, preemptions: task.preemptions + 1}));
	}, state);
}

/** Reserves the workers that a gang needs after it waited long. Only one unit of each rank holds reservations, so that few workers stay idle. */
function reserveForUnit(pass: Pass, unit: SchedulingUnit, monotonic: MonotonicTime): Pass {
	const delay = unit.rank === 0 ? 0 : reservationDelayMilliseconds;
	const mayReserve = unit.step.isGang && !unit.isLate && monotonic - unit.waitingSince >= delay && !pass.reservedRanks.has(unit.rank);
	if (!mayReserve) {
		return pass;
	}

	const candidates = listCandidates(unit, pass.pool).toSorted((first, second) => second.free.accelerators - first.free.accelerators);
	const agents: AgentName[] = [];
	let count = 0;
	for (const candidate of candidates) {
		if (count >= unit.tasks.length) {
			break;
		}

		const fitting = countPlaced(distributeTasks(unit, [withFullCapacity(candidate)]));
		if (fitting > 0) {
			count += fitting;
			agents.push(candidate.worker.agent);
		}
	}

	return count < unit.tasks.length
		? pass
		: {...pass, pool: reserveWorkers(pass.pool, agents), reservedRanks: new Set([...pass.reservedRanks, unit.rank])};
}
