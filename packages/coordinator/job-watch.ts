/** Reads the stored jobs at the beginning of a term and watches them during it. */
import {checkInput} from '#core';
import {
	jobProgressSchema, jobRecordSchema, type JobKey, type JobProgress, type JobSubmission,
} from '#jobs';
import {pause, type Cancel} from '#kernel';
import {unreadMilliseconds, type LoadedJob} from '#scheduling';
import {
	chooseBackoff, startWatchTask, valuesOf, type Observation, type StoredValue,
} from '#store';
import {storeRetryMaximumMilliseconds, watchMilliseconds} from './constants.js';
import {
	jobsPrefix, progressPrefix, parseJobPath, workersKey, workersRecordSchema,
} from './keys.js';
import {storePort} from './ports.js';
import type {Term} from './plugins/scheduler.js';
import type {CoordinatorContext} from './types.js';

export function startJobWatch(term: Term, context: CoordinatorContext): Cancel {
	const {services, clock, random, counters} = context;
	const log = context.log.part('jobs');
	let isLoaded = false;
	const early: Observation[] = [];
	const watch = startWatchTask({
		store: services.use(storePort),
		clock,
		random,
		prefix: jobsPrefix,
		wait: watchMilliseconds,
		maximumBackoff: storeRetryMaximumMilliseconds,
		onObserved(observation) {
			if (isLoaded) {
				announce(observation, term, context);
				return;
			}

			early.push(observation);
			if (early.length === 1) {
				void load(early, term, context, () => {
					isLoaded = true;
				});
			}
		},
		onFailure(reason, failures) {
			counters.countRetry('job-watch');
			log.warn({reason, failures, epoch: term.epoch}, 'store is unavailable; new jobs are not seen');
		},
	});
	return () => {
		watch.stop();
	};
}

/** The jobs are known from the first list; their progress and the workers in use are read besides. */
async function load(early: readonly Observation[], term: Term, context: CoordinatorContext, onLoaded: () => void): Promise<void> {
	const {services, clock, random} = context;
	const store = services.use(storePort);
	for (let failures = 0; !term.isOver(); failures++) {
		const [progress, workers] = await Promise.all([store.list(progressPrefix), store.read(workersKey)]);
		if (progress.kind === 'listed' && workers.kind !== 'unavailable') {
			if (term.isOver()) {
				return;
			}

			const used = workers.kind === 'found' ? readWorkers(workers.stored.value) : [];
			const jobs = assembleJobs(early.flatMap(observation => valuesOf(observation)), progress.values, context);
			term.workersRecord.restore(used, workers.kind === 'found' ? workers.stored.version : 0);
			context.log.part('scheduler').info({
				epoch: term.epoch, jobs: jobs.length, workers: used.length, unreadMilliseconds: Math.round(unreadMilliseconds),
			}, 'stored jobs were read');
			onLoaded();
			term.task.send({kind: 'loaded', jobs, workers: used});
			return;
		}

		context.counters.countRetry('job-load');
		await pause(clock, chooseBackoff(failures, random, 0, storeRetryMaximumMilliseconds));
	}
}

function readWorkers(value: unknown) {
	const checked = checkInput(workersRecordSchema, value, workersKey);
	return checked.kind === 'valid' ? checked.value.workers : [];
}

function assembleJobs(values: readonly StoredValue[], stored: readonly StoredValue[], context: CoordinatorContext): readonly LoadedJob[] {
	const progressOf = new Map<string, Readonly<{progress: JobProgress; version: number}>>();
	for (const {key, value, version} of stored) {
		const checked = checkInput(jobProgressSchema, value, key);
		if (checked.kind === 'valid') {
			progressOf.set(key.slice(progressPrefix.length), {progress: checked.value, version});
		} else {
			context.log.part('jobs').error({key, findings: checked.findings}, 'stored progress cannot be read');
		}
	}

	const cancelled = new Set<string>(values.flatMap(({key}) => parseJobPath(key).isCancellation ? [parseJobPath(key).job] : []));
	const submissions = new Map<JobKey, JobSubmission>();
	for (const value of values) {
		const submission = readSubmission(value, context);
		if (submission !== undefined) {
			submissions.set(submission.job, submission);
		}
	}

	return [...submissions.values()].map(submission => ({
		submission,
		isCancelled: cancelled.has(submission.job),
		progress: progressOf.get(submission.job)?.progress,
		keyVersion: progressOf.get(submission.job)?.version ?? 0,
	}));
}

function readSubmission({key, value}: StoredValue, context: CoordinatorContext): JobSubmission | undefined {
	if (parseJobPath(key).isCancellation) {
		return undefined;
	}

	const checked = checkInput(jobRecordSchema, value, key);
	if (checked.kind === 'invalid') {
		context.log.part('jobs').error({key, findings: checked.findings}, 'stored job cannot be read');
		return undefined;
	}

	return checked.value.kind === 'accepted' ? checked.value.submission : undefined;
}

function announce(observation: Observation, {task, epoch}: Term, context: CoordinatorContext): void {
	for (const stored of valuesOf(observation)) {
		const {job, isCancellation} = parseJobPath(stored.key);
		const submission = readSubmission(stored, context);
		if (isCancellation) {
			context.log.part('jobs').info({job, epoch}, 'cancellation seen');
			task.send({kind: 'cancelled', job});
		} else if (submission !== undefined) {
			task.send({kind: 'submitted', submission});
		}
	}
}
