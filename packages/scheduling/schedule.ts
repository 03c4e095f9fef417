/** One scheduling pass: decides which tasks start on which workers and which runs are preempted for them. */
import type {MonotonicTime, CurrentTime} from '#core';
import {lowestPreemptingRank} from '#forecast';
import {
	createPool, reserveWorkers, allocate, type Pool, type PlacedRun,
} from './pool.js';
import {
	createRoomClaim, holdClaims, listHeldClaims, placeOnClaim, releaseClaims, type HeldRoomClaim,
} from './room-claims.js';
import {
	claimMilliseconds, endingSoonMilliseconds, maximumPreemptionRetryMilliseconds, preemptionRetryMillisecondsPerWorker,
} from './constants.js';
import {
	countByAgent, hasRoomForTask, placeUnit, type Placement, type TaskCounts,
} from './place.js';
import {orderByShare} from './equal-share.js';
import {listLongRunningLimits} from './long-running.js';
import {isUtilizationLow} from './low-rank.js';
import {openDueOccurrences} from './occurrences.js';
import {listKindsToKeepApart, type Conflicts} from './pace.js';
import {findPreemption, type Preemption} from './preempt.js';
import {rankJobs} from './rank.js';
import {findReservation} from './reservation.js';
import {
	startRuns, stopRuns, storeJob, type SchedulerTransition,
} from './runs.js';
import {isExhausted, shapeOf, type TaskShape} from './shapes.js';
import {
	findTask, listStepMembers, replaceJob, resourcesOf, withTask,
} from './state.js';
import {addConflicts, hasSamePlaces, markKindToKeepApart} from './suitability.js';
import type {RoomClaim, SchedulerEffect, SchedulerState} from './types.js';
import {extendRackWait, listSchedulingUnits, type SchedulingUnit} from './units.js';
import {logWaiting} from './wait-logs.js';

export type Pass = Readonly<{
	state: SchedulerState;
	pool: Pool;
	effects: readonly SchedulerEffect[];
	reservedRanks: ReadonlySet<number>;
	/** Shapes for which no worker has room for the rest of the pass, since a pass only allocates resources. */
	exhausted: readonly TaskShape[];
	/** Claims whose room is allocated in the pool. */
	claims: readonly HeldRoomClaim[];
	/** Units of which tasks still wait. */
	waiting: readonly SchedulingUnit[];
	conflicts: Conflicts;
}>;

/** A pass before its first decision. */
export type BegunPass = Readonly<{
	kind: 'begun';
	pass: Pass;
	/** In the order in which the pass decides about them. */
	units: readonly SchedulingUnit[];
	/** Workers before room was claimed for work that waits. */
	pool: Pool;
}>;

/** Carries out a scheduling pass. */
export function schedule(state: SchedulerState, time: CurrentTime): SchedulerTransition {
	const begun = beginPass(state, time);
	if (begun.kind === 'nothing-waits') {
		return begun.transition;
	}

	let {pass} = begun;
	const {isScheduleDue} = pass.state;
	for (const unit of begun.units) {
		pass = scheduleUnit(pass, unit, time.monotonic);
	}

	const logged = logWaiting(pass.state, pass.waiting, pass.pool, time.monotonic);
	return {state: {...logged.state, isScheduleDue}, effects: [...pass.effects, ...logged.effects]};
}

/** Opens due occurrences and prepares the decisions of a pass. */
export function beginPass(state: SchedulerState, time: CurrentTime): BegunPass | Readonly<{kind: 'nothing-waits'; transition: SchedulerTransition}> {
	const next = {...state, isScheduleDue: false};
	if (!state.isLoaded || state.configuration === undefined) {
		return {kind: 'nothing-waits', transition: {state: next, effects: []}};
	}

	const ranks = rankJobs(state);
	const opened = openDueOccurrences(next, ranks, time);
	const waiting = listSchedulingUnits(opened.state, ranks, time);
	if (waiting.length === 0) {
		return {kind: 'nothing-waits', transition: opened};
	}

	const pool = createPool(opened.state, ranks, time.monotonic);
	const conflicts = listKindsToKeepApart(opened.state, time.monotonic);
	const ordered = isUtilizationLow(pool) ? waiting : orderByShare(waiting, pool).map(unit => extendRackWait(unit));
	const units = ordered.map(unit => markKindToKeepApart(unit, conflicts));
	const claims = listHeldClaims(opened.state, units, pool, time.monotonic);
	const claimed = claims.reduce((next, held) => addConflicts(next, [...held.claim.taskCounts.keys()], held, conflicts), holdClaims(pool, claims));
	const pass: Pass = {
		state: opened.state, pool: claimed, effects: opened.effects, reservedRanks: new Set(), exhausted: [], claims, waiting: [], conflicts,
	};
	return {
		kind: 'begun', pass, units, pool,
	};
}

/** Decides about one unit: its tasks start, runs are stopped for it, or it waits. */
export function scheduleUnit(pass: Pass, unit: SchedulingUnit, monotonic: MonotonicTime): Pass {
	if (unit.isHeldBack && isJobBusy(pass.state, unit, monotonic)) {
		return {...pass, waiting: [...pass.waiting, unit]};
	}

	const own = pass.claims.filter(({job, claim}) => job === unit.job.submission.job && claim.stepIndex === unit.stepIndex && claim.occurrence === unit.occurrence);
	const released = own.length === 0 ? pass : {...pass, pool: releaseClaims(pass.pool, own), claims: pass.claims.filter(held => !own.includes(held))};
	const placements = findPlacements(released, unit, own[0]?.claim, monotonic);
	const logged = own.length === 0 ? logKeptApart(released, unit, placements, monotonic) : released;
	const placed = placements.length === 0 ? released : startPlaced(logged, unit, placements, monotonic);
	const remaining = unit.tasks.length - placements.length;
	if (remaining === 0) {
		return placed;
	}

	const waiting = {...noteExhaustion(placed, unit), waiting: [...placed.waiting, unit]};
	if (own.length > 0) {
		return placements.length > 0 ? waiting : {...waiting, pool: holdClaims(waiting.pool, own), claims: [...waiting.claims, ...own]};
	}

	return unit.isolation !== 'idle-worker' && mayPreempt(waiting.state, unit, monotonic)
		? preempt(waiting, unit, remaining, monotonic)
		: reserveForUnit(waiting, unit, monotonic);
}

/** Whether something of the unit's job runs or is about to start. */
function isJobBusy({jobs}: SchedulerState, {job: {submission}}: SchedulingUnit, monotonic: MonotonicTime): boolean {
	const job = jobs.get(submission.job);
	return job !== undefined && (job.counts.running > 0 || (job.claim !== undefined && monotonic < job.claim.until));
}

/** Finds workers for the unit's tasks on the room claimed for it, or anywhere. */
export function findPlacements({pool, exhausted}: Pass, unit: SchedulingUnit, claim: RoomClaim | undefined, monotonic: MonotonicTime): readonly Placement[] {
	const onClaim = claim === undefined || unit.isolation !== 'none' ? [] : placeOnClaim(unit, claim, pool);
	if (onClaim.length > 0) {
		return onClaim;
	}

	return isExhausted(unit, exhausted) ? [] : placeUnit(unit, pool, monotonic);
}

/** Logs a placement that would be another one without beliefs about neighbours. */
function logKeptApart(pass: Pass, unit: SchedulingUnit, placements: readonly Placement[], monotonic: MonotonicTime): Pass {
	if (placements.length === 0 || unit.kindToKeepApart === undefined || hasSamePlaces(placements, placeUnit({...unit, kindToKeepApart: undefined}, pass.pool, monotonic))) {
		return pass;
	}

	const {job: {submission: {job}}, stepIndex, kindToKeepApart} = unit;
	return {...pass, effects: [...pass.effects, {kind: 'log', event: 'kept-apart', fields: {job, step: stepIndex, taskKind: kindToKeepApart}}]};
}

function noteExhaustion(pass: Pass, unit: SchedulingUnit): Pass {
	return unit.isolation !== 'none' || isExhausted(unit, pass.exhausted) || hasRoomForTask(unit, pass.pool)
		? pass
		: {...pass, exhausted: [...pass.exhausted, shapeOf(unit)]};
}

/** A search for victims visits every run, so a unit that found none waits before it searches again, longer in a larger pool. */
function mayPreempt({jobs, workers}: SchedulerState, {rank, job}: SchedulingUnit, monotonic: MonotonicTime): boolean {
	const failedAt = jobs.get(job.submission.job)?.preemptionFailedAt ?? -Infinity;
	return rank <= lowestPreemptingRank && (failedAt === monotonic || monotonic - failedAt >= Math.min(maximumPreemptionRetryMilliseconds, workers.size * preemptionRetryMillisecondsPerWorker));
}

/** Starts placed tasks once the store holds that the job may have runs on their workers, so that a later scheduler looks for them there. */
function startPlaced(pass: Pass, unit: SchedulingUnit, placements: readonly Placement[], monotonic: MonotonicTime): Pass {
	let {pool} = pass;
	for (const {agent} of placements) {
		pool = allocate(pool, agent, resourcesOf(unit.step));
	}

	const job = pass.state.jobs.get(unit.job.submission.job) ?? unit.job;
	const agents = placements.map(({agent}) => agent);
	pool = addConflicts(pool, agents, unit, pass.conflicts);
	const next = {...pass, pool: unit.isolation === 'none' ? pool : reserveWorkers(pool, agents)};
	if (job.outcome === 'queued' || (job.agents !== undefined && !agents.every(agent => job.agents?.has(agent)))) {
		const claim = createRoomClaim(unit, countByAgent(placements), monotonic + claimMilliseconds);
		return apply(next, storeJob(pass.state, {
			...job, outcome: 'running', agents: job.agents?.union(agents), agentsVersion: job.version + 1, claim,
		}));
	}

	return job.storedVersion < job.agentsVersion
		? next
		: apply(next, startRuns(replaceJob(pass.state, {...job, claim: undefined}), job.submission.job, placements, monotonic), {
			kind: 'log',
			event: 'start-ordered',
			fields: {
				job: job.submission.job,
				queue: unit.queue.name,
				rank: unit.rank,
				step: unit.stepIndex,
				waitedMilliseconds: Math.round(monotonic - unit.waitingSince),
				workers: agents,
			},
		});
}

function apply(pass: Pass, {state, effects}: SchedulerTransition, ...further: readonly SchedulerEffect[]): Pass {
	return {...pass, state, effects: [...pass.effects, ...effects, ...further]};
}

/** Preempts work of a lower rank for the unit and allocates the resources to it for the rest of the pass, or reserves workers if there is none. */
function preempt(pass: Pass, unit: SchedulingUnit, count: number, monotonic: MonotonicTime): Pass {
	const found = findVictims(pass, unit, count, monotonic);
	if (found === undefined) {
		const job = pass.state.jobs.get(unit.job.submission.job) ?? unit.job;
		return reserveForUnit({...pass, state: replaceJob(pass.state, {...job, preemptionFailedAt: monotonic})}, unit, monotonic);
	}

	const job = pass.state.jobs.get(unit.job.submission.job) ?? unit.job;
	// Without victims, the room comes from runs that seem to end soon; a guarantee has too little time to rely on one estimate.
	const duration = found.victims.length === 0 ? endingSoonMilliseconds : claimMilliseconds;
	const claim = found.victims.length === 0 && unit.rank === 0 ? undefined : createRoomClaim(unit, found.taskCounts, monotonic + duration);
	const claimed = countPreemptions(replaceJob(pass.state, {...job, claim}), found.victims);
	return apply(
		{...pass, pool: allocateTasks(unit, found.taskCounts, pass.pool)},
		stopRuns(claimed, found.victims.map(({task}) => task), {kind: 'preempted', job: unit.job.submission.job, rank: unit.rank}, monotonic),
	);
}

/** Work within a guarantee takes room that lower ranks claimed if there is no other, and that of long-running work last. */
function findVictims({pool, claims}: Pass, unit: SchedulingUnit, count: number, monotonic: MonotonicTime): Preemption | undefined {
	const lower = unit.rank === 0 ? claims.filter(({rank}) => rank > 0) : [];
	for (const limit of listLongRunningLimits(unit, pool)) {
		const search = {
			unit, pool, limit, monotonic,
		};
		const found = findPreemption(search, count)
			?? (lower.length > 0 ? findPreemption({...search, pool: releaseClaims(pool, lower)}, count) : undefined);
		if (found !== undefined) {
			return found;
		}
	}

	return undefined;
}

function allocateTasks({step}: SchedulingUnit, taskCounts: TaskCounts, pool: Pool): Pool {
	return [...taskCounts].reduce((next, [agent, count]) => Array.from({length: count}).reduce<Pool>(allocated => allocate(allocated, agent, resourcesOf(step)), next), pool);
}

/** Counts a preemption for every stopped task; the stop of one member ends its whole gang. */
function countPreemptions(state: SchedulerState, victims: readonly PlacedRun[]): SchedulerState {
	const stopped = new Set(victims.flatMap(({task, job, step}) => step.isGang ? listStepMembers(job, task) : [task]));
	return [...stopped].reduce((next, name) => {
		const task = findTask(next, name);
		return task === undefined ? next : withTask(next, name, {...task, preemptions: task.preemptions + 1});
	}, state);
}

/** Reserves workers for a gang that waits. Only one unit of each rank holds reservations, so that few workers stay idle. */
function reserveForUnit(pass: Pass, unit: SchedulingUnit, monotonic: MonotonicTime): Pass {
	const agents = pass.reservedRanks.has(unit.rank) ? undefined : findReservation(unit, pass.pool, monotonic);
	return agents === undefined
		? pass
		: {...pass, pool: reserveWorkers(pass.pool, agents), reservedRanks: new Set([...pass.reservedRanks, unit.rank])};
}
