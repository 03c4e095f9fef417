/** Checks the invariants of the system against what callers and workers recorded. */
import {assertNever, type Milliseconds} from '#core';
import {checkClosedZones} from './closed-zones.js';
import type {
	Violation, CallRecord, Fault, History, JobDescription, RunRecord,
} from './types.js';

// The sites of the users' platform set these time limits.

/** After an acceptance, every entry must know the job within this time. */
const visibilityMilliseconds = 3000;
/** After an acknowledged cancellation, runs must end within this time. */
const cancelMilliseconds = 3000;
/** After a job is shown as completed, a run of it that starts later than this is a violation. */
const noticeMilliseconds = 1000;
/** An end that a worker lists with no fault near counts as acknowledged within this time. */
const acknowledgementMilliseconds = 100;
/** A fault is near until this long after it. */
const contactMilliseconds = 5000;

/** Response statuses of submissions that were not accepted and must never run. */
const refusalStatuses: ReadonlySet<number> = new Set([401, 404, 410, 429, 503]);

export function checkHistory(history: History): readonly Violation[] {
	const runsByJob = new Map<string, RunRecord[]>();
	for (const run of history.runs) {
		const job = run.task.split('.')[0] ?? '';
		runsByJob.set(job, [...(runsByJob.get(job) ?? []), run]);
	}

	return [
		...history.jobs.flatMap(job => {
			const calls = history.calls.filter(call => call.job === job.job);
			const runs = runsByJob.get(job.job) ?? [];
			return [
				...checkOverlaps(job, runs),
				...checkRepeats(job, runs, history),
				...checkRefusals(job, calls, runs),
				...checkStates(job, calls, runs),
				...checkOrder(job, runs),
				...checkCancellation(job, calls, runs, history),
				...checkCompletion(job, calls, history),
			];
		}),
		...checkConfiguration(history),
		...checkClosedZones(history),
	];
}

function checkConfiguration({newestQueue}: History): readonly Violation[] {
	return newestQueue.flatMap((status, entry) => status === 200
		? []
		: [{invariant: 'an accepted configuration is in force everywhere', job: '', detail: `entry ${entry} answered ${status} for the newest queue`}]);
}

/** No two runs of a task overlap. */
function checkOverlaps({job}: JobDescription, runs: readonly RunRecord[]): readonly Violation[] {
	const violations: Violation[] = [];
	const ordered = runs.toSorted((first, second) => first.startedAt - second.startedAt);
	for (const [index, first] of ordered.entries()) {
		for (const second of ordered.slice(index + 1)) {
			if (second.task === first.task && second.startedAt < (first.endedAt ?? Infinity)) {
				violations.push({invariant: 'a task runs at one place at a time', job, detail: `${first.task} run ${first.run} on ${first.worker} and run ${second.run} on ${second.worker}`});
			}
		}
	}

	return violations;
}

/** A task does not start again after a run of it ended as done and that end was acknowledged, even later; or was listed with no fault near. An end before whose acknowledgement the worker's lease lapsed does not count. */
function checkRepeats({job}: JobDescription, runs: readonly RunRecord[], history: History): readonly Violation[] {
	const done = runs.filter(run => run.ending === 'done' && (run.notedAt !== undefined || isCalmlyListed(run, history)));
	return done.flatMap(first => runs
		.filter(({task, startedAt}) => task === first.task && startedAt >= (first.endedAt ?? Infinity))
		.map(({task, run, worker}) => ({invariant: 'a task that was done does not start again', job, detail: `${task} run ${run} on ${worker} after run ${first.run} on ${first.worker}`})));
}

/** Whether an end was listed with no fault near; it then counts as acknowledged within 100 ms, unless the worker's lease lapses before. */
function isCalmlyListed({listedAt, lapsedAt = Infinity}: RunRecord, {plan, startedAt}: History): boolean {
	return listedAt !== undefined && listedAt + acknowledgementMilliseconds < lapsedAt && plan.faults.every(fault => {
		const from = startedAt + fault.at;
		return measureDisturbance(fault) === 0 || from > listedAt + acknowledgementMilliseconds || from + measureDisturbance(fault) + contactMilliseconds < listedAt;
	});
}

/** How long a fault may disturb or postpone orders; a graceful departure, a new configuration and a closed zone disturb none. */
function measureDisturbance(fault: Fault): Milliseconds {
	switch (fault.kind) {
		case 'change-configuration':
		case 'close-zone': {
			return 0;
		}

		case 'leave-worker': {
			return fault.departure.kind === 'confirmed' ? 0 : fault.duration;
		}

		case 'late-starts':
		case 'late-orders':
		case 'late-returns': {
			return fault.duration + fault.delay;
		}

		case 'kill-entry':
		case 'stop-entry':
		case 'pause-entry':
		case 'kill-agent':
		case 'pause-agent':
		case 'store':
		case 'compact-store':
		case 'entry-store-link':
		case 'agent-worker-link':
		case 'restart-worker':
		case 'late-announcement': {
			return Math.max(1, fault.duration);
		}

		default: {
			return assertNever(fault);
		}
	}
}

/** A job whose submissions were all refused never runs. */
function checkRefusals({job}: JobDescription, calls: readonly CallRecord[], runs: readonly RunRecord[]): readonly Violation[] {
	const submissions = calls.filter(({action}) => action === 'submit');
	const isRefused = submissions.length > 0 && submissions.every(({status}) => refusalStatuses.has(status));
	return isRefused && runs.length > 0 ? [{invariant: 'what was refused does not run', job, detail: `${runs.length} runs`}] : [];
}

function acceptedAt(calls: readonly CallRecord[]): number | undefined {
	return calls.find(({action, status}) => action === 'submit' && status === 200)?.answeredAt;
}

/** Accepted jobs stay known. A job is shown as completed only when every task is done, and it stays completed and does not run again. */
function checkStates({job, steps}: JobDescription, calls: readonly CallRecord[], runs: readonly RunRecord[]): readonly Violation[] {
	const accepted = acceptedAt(calls);
	const shown = calls.filter(({action}) => action === 'show');
	const notFound = shown.filter(({at, status}) => status === 410 && accepted !== undefined && at > accepted + visibilityMilliseconds);
	const completed = shown.find(({state}) => state === 'completed');
	const taskCount = steps.reduce((total, {count}) => total + count, 0);
	const done = new Set(runs.filter(({ending, endedAt}) => ending === 'done' && completed !== undefined && (endedAt ?? Infinity) <= completed.answeredAt).map(({task}) => task));
	const late = completed === undefined ? [] : runs.filter(({startedAt}) => startedAt > completed.answeredAt + noticeMilliseconds);
	const reverted = completed === undefined ? [] : shown.filter(({at, state}) => at > completed.answeredAt && state !== undefined && state !== 'completed');
	return [
		...(notFound.length > 0 ? [{invariant: 'an accepted job is known', job, detail: `answered 410 at ${notFound[0]?.at}`}] : []),
		...(completed !== undefined && done.size < taskCount ? [{invariant: 'a completed job has run', job, detail: `${done.size} of ${taskCount} tasks were done`}] : []),
		...(late.length > 0 ? [{invariant: 'a completed job does not run again', job, detail: late.map(({task, run}) => `${task} run ${run}`).join(', ')}] : []),
		...(reverted.length > 0 ? [{invariant: 'a completed job stays completed', job, detail: `shown as ${reverted[0]?.state}`}] : []),
	];
}

/** A step starts only after the steps that it depends on are done. */
function checkOrder({job, steps}: JobDescription, runs: readonly RunRecord[]): readonly Violation[] {
	const stepOfTask = (task: string) => Number(task.split('.')[2]);
	return runs.flatMap(run => {
		const {after = []} = steps[stepOfTask(run.task)] ?? {};
		const isEarly = after.some(earlier => {
			const done = new Set(runs.filter(({task, ending, endedAt}) => stepOfTask(task) === earlier && ending === 'done' && (endedAt ?? Infinity) <= run.startedAt).map(({task}) => task));
			return done.size < (steps[earlier]?.count ?? 0);
		});
		return isEarly ? [{invariant: 'steps run in their order', job, detail: run.task}] : [];
	});
}

/** After a confirmed cancellation no run starts, and current runs end. A 410 confirms it as well: copies of the submission that are still under way are not to run. */
function checkCancellation({job}: JobDescription, calls: readonly CallRecord[], runs: readonly RunRecord[], {plan, endedAt}: History): readonly Violation[] {
	const cancelled = calls.find(({action, status}) => action === 'cancel' && (status === 200 || status === 410))?.answeredAt;
	if (cancelled === undefined) {
		return [];
	}

	// Delayed starts and faults can postpone the effect of orders sent before the cancellation.
	const delays = plan.faults.map(fault => fault.kind === 'late-starts' || fault.kind === 'late-orders' || fault.kind === 'late-returns' ? fault.delay : 0);
	const durations = plan.faults.map(fault => fault.kind === 'leave-worker' ? fault.departure.endsAfter : (fault.kind === 'close-zone' ? 0 : fault.duration));
	const toleranceMilliseconds = cancelMilliseconds + Math.max(0, ...delays, ...durations);
	const late = runs.filter(({startedAt}) => startedAt > cancelled + toleranceMilliseconds);
	const unfinished = runs.filter(run => run.endedAt === undefined && endedAt > cancelled + toleranceMilliseconds);
	return [...late, ...unfinished].map(({task, run}) => ({invariant: 'a cancelled job does not run', job, detail: `${task} run ${run}`}));
}

/** Every accepted job that no caller tried to cancel completes by the end of the soak. */
function checkCompletion({job}: JobDescription, calls: readonly CallRecord[], {endedAt}: History): readonly Violation[] {
	const isCancelled = calls.some(({action}) => action === 'cancel');
	const last = calls.findLast(({action, status}) => action === 'show' && status !== 0);
	return acceptedAt(calls) !== undefined && !isCancelled && last?.state !== 'completed'
		? [{invariant: 'an accepted job completes', job, detail: `last shown as ${last?.state ?? last?.status ?? 'nothing'}, ${endedAt - (acceptedAt(calls) ?? 0)} ms after its acceptance`}]
		: [];
}
