/** Checks the promises of the system against what callers and workers saw. */
import type {
	Violation, CallRecord, History, JobDescription, RunRecord,
} from './types.js';

/** Bounds of the platform's sites. */
const visibilityMilliseconds = 3000;
const cancelMilliseconds = 3000;
const noticeMilliseconds = 1000;

/** Statuses that say that a submission was not accepted and never runs. */
const refusalStatuses: ReadonlySet<number> = new Set([401, 404, 429, 503]);

export function checkHistory(history: History): readonly Violation[] {
	const runsOf = new Map<string, RunRecord[]>();
	for (const run of history.runs) {
		const job = run.task.split('.')[0] ?? '';
		runsOf.set(job, [...(runsOf.get(job) ?? []), run]);
	}

	return [
		...history.jobs.flatMap(job => {
			const calls = history.calls.filter(call => call.job === job.job);
			const runs = runsOf.get(job.job) ?? [];
			return [
				...checkOverlaps(job, runs),
				...checkRefusals(job, calls, runs),
				...checkStates(job, calls, runs),
				...checkOrder(job, runs),
				...checkCancellation(job, calls, runs, history),
				...checkEnd(job, calls, history),
			];
		}),
		...checkConfiguration(history),
	];
}

function checkConfiguration({newestQueue}: History): readonly Violation[] {
	return newestQueue.flatMap((status, entry) => status === 200
		? []
		: [{promise: 'an accepted configuration is in force everywhere', job: '', detail: `entry ${entry} answered ${status} for the newest queue`}]);
}

/** No task runs twice at the same time. */
function checkOverlaps({job}: JobDescription, runs: readonly RunRecord[]): readonly Violation[] {
	const breaches: Violation[] = [];
	const ordered = runs.toSorted((first, second) => first.startedAt - second.startedAt);
	for (const [index, first] of ordered.entries()) {
		for (const second of ordered.slice(index + 1)) {
			if (second.task === first.task && second.startedAt < (first.endedAt ?? Infinity)) {
				breaches.push({promise: 'a task runs at one place at a time', job, detail: `${first.task} run ${first.run} on ${first.worker} and run ${second.run} on ${second.worker}`});
			}
		}
	}

	return breaches;
}

/** A job that every attempt was told not to run does not run. */
function checkRefusals({job}: JobDescription, calls: readonly CallRecord[], runs: readonly RunRecord[]): readonly Violation[] {
	const submissions = calls.filter(({action}) => action === 'submit');
	const isRefused = submissions.length > 0 && submissions.every(({status}) => refusalStatuses.has(status));
	return isRefused && runs.length > 0 ? [{promise: 'what was refused does not run', job, detail: `${runs.length} runs`}] : [];
}

function acceptedAt(calls: readonly CallRecord[]): number | undefined {
	return calls.find(({action, status}) => action === 'submit' && status === 200)?.answeredAt;
}

/** Accepted jobs stay known, and are shown as completed only when every task has ended so. */
function checkStates({job, steps}: JobDescription, calls: readonly CallRecord[], runs: readonly RunRecord[]): readonly Violation[] {
	const accepted = acceptedAt(calls);
	const shown = calls.filter(({action}) => action === 'show');
	const gone = shown.filter(({at, status}) => status === 410 && accepted !== undefined && at > accepted + visibilityMilliseconds);
	const completed = shown.find(({state}) => state === 'completed');
	const taskCount = steps.reduce((total, {count}) => total + count, 0);
	const done = new Set(runs.filter(({ending, endedAt}) => ending === 'done' && completed !== undefined && (endedAt ?? Infinity) <= completed.answeredAt).map(({task}) => task));
	const late = completed === undefined ? [] : runs.filter(({startedAt}) => startedAt > completed.answeredAt + noticeMilliseconds);
	const back = completed === undefined ? [] : shown.filter(({at, state}) => at > completed.answeredAt && state !== undefined && state !== 'completed');
	return [
		...(gone.length > 0 ? [{promise: 'an accepted job is known', job, detail: `answered 410 at ${gone[0]?.at}`}] : []),
		...(completed !== undefined && done.size < taskCount ? [{promise: 'a completed job has run', job, detail: `${done.size} of ${taskCount} tasks were done`}] : []),
		...(late.length > 0 ? [{promise: 'a completed job does not run again', job, detail: late.map(({task, run}) => `${task} run ${run}`).join(', ')}] : []),
		...(back.length > 0 ? [{promise: 'a completed job stays completed', job, detail: `shown as ${back[0]?.state}`}] : []),
	];
}

/** A step starts after the steps before it. */
function checkOrder({job, steps}: JobDescription, runs: readonly RunRecord[]): readonly Violation[] {
	const stepOfTask = (task: string) => Number(task.split('.')[2]);
	return runs.flatMap(run => {
		const {after = []} = steps[stepOfTask(run.task)] ?? {};
		const isEarly = after.some(earlier => {
			const done = new Set(runs.filter(({task, ending, endedAt}) => stepOfTask(task) === earlier && ending === 'done' && (endedAt ?? Infinity) <= run.startedAt).map(({task}) => task));
			return done.size < (steps[earlier]?.count ?? 0);
		});
		return isEarly ? [{promise: 'steps run in their order', job, detail: run.task}] : [];
	});
}

/** Nothing starts after a cancellation was acknowledged, and what runs ends. */
function checkCancellation({job}: JobDescription, calls: readonly CallRecord[], runs: readonly RunRecord[], {plan, endedAt}: History): readonly Violation[] {
	const cancelled = calls.find(({action, status}) => action === 'cancel' && status === 200)?.answeredAt;
	if (cancelled === undefined) {
		return [];
	}

	// Workers that carry out starts late do so for orders of before.
	const slack = cancelMilliseconds + Math.max(0, ...plan.faults.map(fault => fault.kind === 'late-starts' ? fault.delay : 0), ...plan.faults.map(({duration}) => duration));
	const late = runs.filter(({startedAt}) => startedAt > cancelled + slack);
	const endless = runs.filter(run => run.endedAt === undefined && endedAt > cancelled + slack);
	return [...late, ...endless].map(({task, run}) => ({promise: 'a cancelled job does not run', job, detail: `${task} run ${run}`}));
}

/** Every accepted job that nobody cancelled has ended when all is calm. */
function checkEnd({job}: JobDescription, calls: readonly CallRecord[], {endedAt}: History): readonly Violation[] {
	const isCancelled = calls.some(({action}) => action === 'cancel');
	const last = calls.findLast(({action, status}) => action === 'show' && status !== 0);
	return acceptedAt(calls) !== undefined && !isCancelled && last?.state !== 'completed'
		? [{promise: 'an accepted job completes', job, detail: `last shown as ${last?.state ?? last?.status ?? 'nothing'}, ${endedAt - (acceptedAt(calls) ?? 0)} ms after its acceptance`}]
		: [];
}
