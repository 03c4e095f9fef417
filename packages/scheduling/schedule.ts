/** One pass of the scheduler: decides what starts where and what is stopped for it. */
import type {MonotonicTime, Present} from '#core';
import {
	createPool, reserveWorkers, allocate, type Pool, type PlacedRun,
} from './pool.js';
import {reservationDelayMilliseconds} from './constants.js';
import {
	countPlaced, distributeTasks, withoutRuns, listCandidates, placeUnit, type Placement,
} from './place.js';
import {findPreemption} from './preempt.js';
import {rankJobs} from './rank.js';
import {
	startRuns, stopRuns, storeJob, type SchedulerTransition,
} from './runs.js';
import {
	jobOf, resourcesOf, listStepMembers, withJob, withTask,
} from './state.js';
import type {AgentName, SchedulerEffect, SchedulerState} from './types.js';
import {listSchedulingUnits, type SchedulingUnit} from './units.js';

/** Ranks up to this one may stop other work. */
const lowestPreemptingRank = 2;

type Pass = Readonly<{state: SchedulerState; board: Pool; effects: readonly SchedulerEffect[]; reservedRanks: ReadonlySet<number>}>;

export function schedule(state: SchedulerState, present: Present): SchedulerTransition {
	const idle = {...state, isScheduleDue: false};
	if (!state.isLoaded || state.configuration === undefined) {
		return {state: idle, effects: []};
	}

	const ranks = rankJobs(state);
	let pass: Pass = {
		state: idle, board: createPool(state, ranks, present.monotonic), effects: [], reservedRanks: new Set(),
	};
	for (const unit of listSchedulingUnits(state, ranks, present)) {
		pass = scheduleUnit(pass, unit, present.monotonic);
	}

	return {state: {...pass.state, isScheduleDue: false}, effects: pass.effects};
}

function scheduleUnit(pass: Pass, unit: SchedulingUnit, monotonic: MonotonicTime): Pass {
	const placements = placeUnit(unit, pass.board, monotonic);
	const placed = placements.length === 0 ? pass : startPlaced(pass, unit, placements, monotonic);
	const rest = unit.tasks.length - placements.length;
	if (rest === 0) {
		return placed;
	}

	const cleared = unit.rank <= lowestPreemptingRank ? preempt(placed, unit, rest, monotonic) : undefined;
	return cleared ?? reserveForUnit(placed, unit, monotonic);
}

/** Starts tasks; the first start of a job waits until the store knows that the job has begun, so that a later scheduler looks for its runs. */
function startPlaced(pass: Pass, unit: SchedulingUnit, placements: readonly Placement[], monotonic: MonotonicTime): Pass {
	let {board} = pass;
	for (const {agent} of placements) {
		board = allocate(board, agent, resourcesOf(unit.step));
	}

	const job = pass.state.jobs.get(unit.job.submission.job) ?? unit.job;
	const next = {...pass, board};
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

/** Stops lower work for the unit and keeps its workers from others until it fits. */
function preempt(pass: Pass, unit: SchedulingUnit, count: number, monotonic: MonotonicTime): Pass | undefined {
	const found = findPreemption(unit, count, pass.board, monotonic);
	if (found === undefined) {
		return undefined;
	}

	let {board} = pass;
	for (const [agent, share] of found.shares) {
		for (let index = 0; index < share; index++) {
			board = allocate(board, agent, resourcesOf(unit.step));
		}
	}

	const counted = countPreemptions(pass.state, found.victims);
	return apply({...pass, board}, stopRuns(counted, found.victims.map(({task}) => task), `room for ${unit.job.submission.job} of rank ${unit.rank}`, monotonic));
}

/** The stop of one member ends its whole gang. */
function countPreemptions(state: SchedulerState, victims: readonly PlacedRun[]): SchedulerState {
	const stopped = new Set(victims.flatMap(({task, job, step}) => step.isGang ? listStepMembers(job, task) : [task]));
	return [...stopped].reduce((next, name) => {
		const job = jobOf(next, name);
		const task = job?.tasks.get(name);
		return job === undefined || task === undefined ? next : withJob(next, withTask(job, name, {...task, preemptions: task.preemptions + 1}));
	}, state);
}

/** Wide work that waited long keeps the workers that it needs; one unit of each rank at a time, so that little stands idle. */
function reserveForUnit(pass: Pass, unit: SchedulingUnit, monotonic: MonotonicTime): Pass {
	const delay = unit.rank === 0 ? 0 : reservationDelayMilliseconds;
	const isDue = unit.step.isGang && !unit.isLate && monotonic - unit.waitingSince >= delay && !pass.reservedRanks.has(unit.rank);
	if (!isDue) {
		return pass;
	}

	const candidates = listCandidates(unit, pass.board).toSorted((first, second) => second.free.accelerators - first.free.accelerators);
	const agents: AgentName[] = [];
	let count = 0;
	for (const candidate of candidates) {
		if (count >= unit.tasks.length) {
			break;
		}

		const fitting = countPlaced(distributeTasks(unit, [withoutRuns(candidate)]));
		if (fitting > 0) {
			count += fitting;
			agents.push(candidate.worker.agent);
		}
	}

	return count < unit.tasks.length
		? pass
		: {...pass, board: reserveWorkers(pass.board, agents), reservedRanks: new Set([...pass.reservedRanks, unit.rank])};
}
