/** Loads the stored jobs at the start of a term and watches for changes during it. */
import {checkInput} from '#core';
import {
	jobProgressSchema, jobRecordSchema, type JobKey, type JobProgress, type JobSubmission,
} from '#jobs';
import {sleep, type Cancel} from '#kernel';
import {unreadMilliseconds, type LoadedJob} from '#scheduling';
import {
	computeBackoff, startWatchTask, extractValues, type Observation, type StoredValue,
} from '#store';
import {storeRetryMaximumMilliseconds, watchMilliseconds} from './constants.js';
import {
	jobsPrefix, parseJobStoreKey, progressPrefix, workersKey,
} from './keys.js';
import {addObservation, noObservedVersions, type ObservedVersions} from './observed-versions.js';
import {configurationPort, storePort} from './ports.js';
import type {Term} from './plugins/scheduler.js';
import {zonesService} from './plugins/zones.js';
import type {CoordinatorContext} from './types.js';
import {parseWorkersRecord} from './workers-record.js';
import {selectZones} from './zones-state.js';

export function startJobWatch(term: Term, context: CoordinatorContext): Cancel {
	const {services, clock, random, counters} = context;
	const log = context.log.withPrefix('jobs');
	let isLoaded = false;
	let isLoading = false;
	let versions = noObservedVersions;
	let bufferedValues: readonly StoredValue[] = [];
	const watch = startWatchTask({
		store: services.use(storePort),
		clock,
		random,
		prefix: jobsPrefix,
		wait: watchMilliseconds,
		maximumBackoff: storeRetryMaximumMilliseconds,
		onObserved(observation) {
			const values = extractChanges(observation, versions);
			versions = addObservation(versions, observation);
			term.refusalRecords.observe(values);
			if (isLoaded) {
				forwardChanges(values, term, context);
				return;
			}

			bufferedValues = [...bufferedValues, ...values];
			if (!isLoading) {
				isLoading = true;
				void loadStoredState(term, context, () => {
					isLoaded = true;
					const values = bufferedValues;
					bufferedValues = [];
					return values;
				});
			}
		},
		onFailure(reason, failures) {
			counters.countRetry('job-watch');
			log.warn({reason, failures, epoch: term.epoch}, 'store is unavailable; new jobs are not received');
		},
	});
	return () => {
		watch.stop();
	};
}

/** Leaves out submissions that were observed before: the scheduler may have forgotten a job whose records are just being removed. A cancellation may be observed before its submission, and counts each time. */
function extractChanges(observation: Observation, versions: ObservedVersions): readonly StoredValue[] {
	return extractValues(observation).filter(({key, version}) => parseJobStoreKey(key).isCancellation || versions.get(key) !== version);
}

/** Reads the jobs' progress, the workers in use and the closed zones from the store. Nothing starts before, so that no scheduler starts tasks in a zone that was closed before its term. The jobs come from the watch's observations, whose values are buffered until `takeBuffered` releases them. */
async function loadStoredState(term: Term, context: CoordinatorContext, takeBuffered: () => readonly StoredValue[]): Promise<void> {
	const {services, clock, random} = context;
	const store = services.use(storePort);
	const source = services.use(configurationPort);
	for (let failures = 0; !term.isOver(); failures++) {
		const [progress, workers, zones] = await Promise.all([store.list(progressPrefix), store.read(workersKey), store.list(source.closedZonesPrefix)]);
		if (progress.kind === 'listed' && workers.kind !== 'unavailable' && zones.kind === 'listed') {
			if (term.isOver()) {
				return;
			}

			const usedWorkers = workers.kind === 'found' ? parseWorkersRecord(workers.stored.value, context) : [];
			const jobs = assembleJobs(takeBuffered(), progress.values, context);
			term.workersRecord.restore(usedWorkers, workers.kind === 'found' ? workers.stored.version : 0);
			context.log.withPrefix('scheduler').info({
				epoch: term.epoch, jobs: jobs.length, workers: usedWorkers.length, unreadMilliseconds: Math.round(unreadMilliseconds),
			}, 'loaded the stored jobs');
			// A list that is older than what the watch or another entry has told changes nothing.
			const {kind, ...listed} = zones;
			services.use(zonesService).send({kind: 'observed', observation: selectZones({kind: 'all', ...listed}, source.decodeKey), source: 'term'});
			term.task.send({kind: 'zones-observed', zones: services.use(zonesService).read()});
			term.task.send({kind: 'loaded', jobs, workers: usedWorkers});
			return;
		}

		context.counters.countRetry('job-load');
		context.log.withPrefix('scheduler').warn({
			epoch: term.epoch, failures: failures + 1, progress: progress.kind, workers: workers.kind, closedZones: zones.kind,
		}, 'stored state cannot be read; nothing is started before');
		await sleep(clock, computeBackoff(failures, random, 0, storeRetryMaximumMilliseconds));
	}
}

function assembleJobs(jobValues: readonly StoredValue[], progressValues: readonly StoredValue[], context: CoordinatorContext): readonly LoadedJob[] {
	const progressByJob = new Map<string, Readonly<{progress: JobProgress; version: number}>>();
	for (const {key, value, version} of progressValues) {
		const checked = checkInput(jobProgressSchema, value, key);
		if (checked.kind === 'valid') {
			progressByJob.set(key.slice(progressPrefix.length), {progress: checked.value, version});
		} else {
			context.log.withPrefix('jobs').error({key, findings: checked.findings}, 'stored progress is not valid');
		}
	}

	const cancelled = new Set<string>(jobValues.flatMap(({key}) => parseJobStoreKey(key).isCancellation ? [parseJobStoreKey(key).job] : []));
	const submissions = new Map<JobKey, JobSubmission>();
	for (const stored of jobValues) {
		const submission = parseSubmission(stored, context);
		if (submission !== undefined) {
			submissions.set(submission.job, submission);
		}
	}

	return [...submissions.values()].map(submission => ({
		submission,
		isCancelled: cancelled.has(submission.job),
		progress: progressByJob.get(submission.job)?.progress,
		keyVersion: progressByJob.get(submission.job)?.version ?? 0,
	}));
}

function parseSubmission({key, value}: StoredValue, context: CoordinatorContext): JobSubmission | undefined {
	if (parseJobStoreKey(key).isCancellation) {
		return undefined;
	}

	const checked = checkInput(jobRecordSchema, value, key);
	if (checked.kind === 'invalid') {
		context.log.withPrefix('jobs').error({key, findings: checked.findings}, 'stored job is not valid');
		return undefined;
	}

	return checked.value.kind === 'accepted' ? checked.value.submission : undefined;
}

function forwardChanges(values: readonly StoredValue[], {task, epoch}: Term, context: CoordinatorContext): void {
	for (const stored of values) {
		const {job, isCancellation} = parseJobStoreKey(stored.key);
		const submission = parseSubmission(stored, context);
		if (isCancellation) {
			context.log.withPrefix('jobs').info({job, epoch}, 'cancellation received');
			task.send({kind: 'cancelled', job});
		} else if (submission !== undefined) {
			task.send({kind: 'submitted', submission});
		}
	}
}
