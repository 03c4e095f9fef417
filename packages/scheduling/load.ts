/** Describes the scheduler's load for forecasts. */
import type {CurrentTime, Milliseconds, MonotonicTime} from '#core';
import {
	forecastValidityMilliseconds, roomOfTask, roomOfUnit, workOf, type LoadSnapshot, type ObservedJob, type TeamGuarantee, type Urgency, type WaitingWork,
} from '#forecast';
import {countTasksOfOccurrence, type JobKey, type JobStep} from '#jobs';
import {longTaskFactor} from './constants.js';
import {isLowRankWithoutCheckpoints} from './low-rank.js';
import {createPool, type PoolWorker} from './pool.js';
import {countAccelerators, rankJobs, type Rank} from './rank.js';
import {estimateRemaining} from './remaining.js';
import {isOpen, resolveQueue} from './state.js';
import type {SchedulerJob, SchedulerState} from './types.js';
import {estimateCriticalPath, findMedianDuration} from './units.js';

/**
Describes the waiting and running work, the workers' room and the guarantees.

Undefined while the scheduler does not know them: until it has read the stored jobs and every worker of its predecessor, and while its lease is not confirmed, as in an outage of the store.
*/
export function describeLoad(state: SchedulerState, time: CurrentTime): LoadSnapshot | undefined {
	const {configuration, isLoaded, unread, leaseUntil} = state;
	if (configuration === undefined || !isLoaded || unread.size > 0 || leaseUntil <= time.monotonic) {
		return undefined;
	}

	const ranks = rankJobs(state);
	const pool = createPool(state, ranks, time.monotonic);
	const workers = [...pool.values()];
	return {
		waiting: listWaitingWork(state, ranks, workers, time),
		running: workers.flatMap(({worker, runs}) => runs.map(({run, step, rank, need}) => ({
			service: worker.snapshot.service, rank, room: need, remaining: run.stage === 'stopping' ? 0 : estimateRemaining(run, step, time.monotonic),
		}))),
		workers: workers.map(({worker, free, isUsable}) => ({
			service: worker.snapshot.service, capacity: worker.snapshot.capacity, free, isUsable, isStaying: worker.snapshot.state === 'ready',
		})),
		teams: listGuarantees(state, ranks, workers, time.monotonic),
	};
}

function listWaitingWork(state: SchedulerState, ranks: ReadonlyMap<JobKey, Rank>, workers: readonly PoolWorker[], time: CurrentTime): readonly WaitingWork[] {
	const longDuration = findMedianDuration(state) * longTaskFactor;
	const labels = new Set(workers.flatMap(({worker}) => worker.snapshot.labels));
	const waiting: WaitingWork[] = [];
	for (const job of state.jobs.values()) {
		const counts = isOpen(job) ? countWaitingByStep(job) : [];
		if (counts.every(count => count === 0)) {
			continue;
		}

		const {submission: {job: key, tenant: team = '', request: {steps}}, slowdown = 1} = job;
		const queue = resolveQueue(state, job);
		const isLate = time.now - job.submission.submittedAt > (queue.stretch * estimateCriticalPath(job)) + queue.targetMilliseconds;
		const rank = ranks.get(key) ?? queue.priority + 1;
		for (const [index, step] of steps.entries()) {
			const count = counts[index] ?? 0;
			const duration = step.estimatedMilliseconds * slowdown;
			// Work that does not end by itself, or that no worker may run, delays no other work for a time that could be estimated.
			if (count > 0 && !step.isLongRunning && (step.requiredLabel === undefined || labels.has(step.requiredLabel))) {
				waiting.push({
					service: queue.service,
					rank,
					team,
					urgency: chooseUrgency(isLate, duration >= longDuration),
					work: workOf(step, count, duration),
					task: roomOfTask(step),
					unit: roomOfUnit(step),
					isBlocked: time.monotonic - job.changedAt > firstPassMilliseconds && step.after.length === 0 && isUnrestricted(step) && !isLowRankWithoutCheckpoints({rank, step}),
				});
			}
		}
	}

	return waiting;
}

/** Time after which a job has certainly been considered by a pass. */
const firstPassMilliseconds = 1000;

/** Whether a step may run on any worker of its service; low-rank work that cannot save its progress keeps to a share of them. */
function isUnrestricted({requiredLabel, dataRack, prefersOneRack, maximumPerWorker}: JobStep): boolean {
	return requiredLabel === undefined && dataRack === undefined && !prefersOneRack && maximumPerWorker === 0;
}

function chooseUrgency(isLate: boolean, isLong: boolean): Urgency {
	if (isLong) {
		return 'long';
	}

	return isLate ? 'late' : 'on-time';
}

/** Counts the tasks of each step that wait, those of due occurrences only. Steps are begun in their order, so the waiting tasks count as those of the last ones; counting them one by one takes 100 ms for 40,000 tasks. */
function countWaitingByStep({counts, tasks, occurrences, submission: {request}}: SchedulerJob): readonly number[] {
	const {steps, schedule} = request;
	// The next pass opens a new job.
	if (schedule === undefined && occurrences.next === 0) {
		return steps.map(({count}) => count);
	}

	const open = Math.ceil(tasks.size / countTasksOfOccurrence(request));
	let remaining = counts.waiting;
	return steps.toReversed().map(({count}) => {
		const waiting = Math.min(remaining, count * open);
		remaining -= waiting;
		return waiting;
	}).toReversed();
}

/** Sums up the accelerators that jobs of rank 0 take from their teams' guarantees. Jobs that end before the forecast expires no longer count, since they leave their part to jobs that are decided by it. */
function listGuarantees({jobs, configuration}: SchedulerState, ranks: ReadonlyMap<JobKey, Rank>, workers: readonly PoolWorker[], monotonic: MonotonicTime): readonly TeamGuarantee[] {
	const remaining = new Map<JobKey, Milliseconds>();
	for (const {job, run, step} of workers.flatMap(({runs}) => runs.filter(placed => placed.rank === 0))) {
		const {job: key} = job.submission;
		remaining.set(key, Math.max(remaining.get(key) ?? 0, estimateRemaining(run, step, monotonic)));
	}

	const used = new Map<string, number>();
	for (const [key, rank] of ranks) {
		const job = jobs.get(key);
		const isEnding = job !== undefined && job.counts.running > 0 && job.counts.waiting === 0 && (remaining.get(key) ?? 0) < forecastValidityMilliseconds;
		if (rank === 0 && job?.submission.tenant !== undefined && !isEnding) {
			used.set(job.submission.tenant, (used.get(job.submission.tenant) ?? 0) + countAccelerators(job));
		}
	}

	return (configuration?.tenants ?? []).map(({name, guaranteedAccelerators}) => ({team: name, accelerators: guaranteedAccelerators, used: used.get(name) ?? 0}));
}

/** Lists the jobs that `earlier` does not hold, which are new unless an earlier scheduler left them, and the given ones as long as they are open. */
export function observeStarts({jobs}: SchedulerState, earlier: SchedulerState['jobs'], tracked: Iterable<JobKey>, monotonic: MonotonicTime): readonly ObservedJob[] {
	const added = [...jobs.values()].filter(({submission: {job}, isInherited}) => !isInherited && !earlier.has(job));
	const known = [...tracked].flatMap(key => jobs.get(key) ?? []).filter(job => isOpen(job) || job.hasStarted);
	return [
		...added.map(job => observe(job, true, monotonic)),
		...known.map(job => observe(job, false, monotonic)),
	];
}

function observe(job: SchedulerJob, isNew: boolean, monotonic: MonotonicTime): ObservedJob {
	const startedAt = job.hasStarted ? Math.min(monotonic, ...[...job.tasks.values()].flatMap(({run}) => run?.startedAt ?? [])) : undefined;
	return {
		job: job.submission, isNew, arrivedAt: Math.min(job.changedAt, startedAt ?? Infinity), startedAt,
	};
}
