/** Stores the progress of jobs, one transaction at a time, on condition that this entry is still the scheduler. */
import {sleep} from '#kernel';
import {isDeepStrictEqual} from 'node:util';
import type {JobKey, JobProgress} from '#jobs';
import {describeProgress} from '#scheduling';
import type {CommitReply, StoredValue} from '#store';
import {maximumJobsPerTransaction, maximumRemovalsPerTransaction, progressRetryMilliseconds} from './constants.js';
import {
	cancellationStoreKey, jobStoreKey, leaderKey, progressStoreKey,
} from './keys.js';
import {leadershipService} from './plugins/leadership.js';
import {storePort} from './ports.js';
import type {Term} from './plugins/scheduler.js';
import type {CoordinatorContext} from './types.js';

export type ProgressWriter = Readonly<{
	/** Stores the latest progress of the job in one of the next transactions. */
	store(job: JobKey): void;
	/** Removes all records of a job that ended long ago, if its progress still has the given version: the same job may be submitted again once they are gone. */
	remove(job: JobKey, keyVersion: number): void;
}>;

type ProgressUpdate = Readonly<{job: JobKey; version: number; keyVersion: number; progress: JobProgress}>;

export function startProgressWriter(term: Pick<Term, 'leaderVersion' | 'isOver' | 'task' | 'epoch'>, context: CoordinatorContext): ProgressWriter {
	const {services, clock, counters} = context;
	const dirty = new Set<JobKey>();
	const obsolete = new Map<JobKey, number>();
	let isWriting = false;

	const collectUpdates = (): readonly ProgressUpdate[] => [...dirty].slice(0, maximumJobsPerTransaction).flatMap(key => {
		const job = term.task.read().jobs.get(key);
		return job === undefined
			? []
			: [{
				job: key, version: job.version, keyVersion: job.keyVersion, progress: describeProgress(job),
			}];
	});

	const write = async (): Promise<boolean> => {
		const updates = collectUpdates();
		for (const {job} of updates) {
			dirty.delete(job);
		}

		const sentAt = clock.monotonic();
		const reply = await services.use(storePort).commit({
			conditions: [
				{key: leaderKey, expectedVersion: term.leaderVersion},
				...updates.map(({job, keyVersion}) => ({key: progressStoreKey(job), expectedVersion: keyVersion})),
			],
			puts: updates.map(({job, progress}) => ({key: progressStoreKey(job), value: progress})),
			removals: [],
		});
		counters.recordLatency('store-progress', clock.monotonic() - sentAt);
		return !term.isOver() && handleReply(updates, reply);
	};

	/** Returns whether the next write may follow at once. */
	const handleReply = (updates: readonly ProgressUpdate[], reply: CommitReply): boolean => {
		switch (reply.kind) {
			case 'committed': {
				for (const {job, version} of updates) {
					term.task.send({
						kind: 'stored', job, version, keyVersion: reply.version,
					});
				}

				return true;
			}

			case 'conflict': {
				return resolveConflict(updates, reply.current);
			}

			case 'lease-unknown':
			case 'unavailable': {
				counters.countRetry('progress-write');
				context.log.withPrefix('progress').warn({jobs: updates.map(({job}) => job), reply, epoch: term.epoch}, 'progress was not stored; retrying');
				for (const {job} of updates) {
					dirty.add(job);
				}

				return false;
			}
		}
	};

	/** An earlier write may have been applied although its reply was lost; the store then already holds the progress. */
	const resolveConflict = (updates: readonly ProgressUpdate[], current: readonly StoredValue[]): boolean => {
		const leader = current.find(({key}) => key === leaderKey);
		if (leader?.version !== term.leaderVersion) {
			context.log.withPrefix('progress').warn({epoch: term.epoch, leader: leader?.value}, 'progress was not stored because another entry is the scheduler');
			services.use(leadershipService).send({kind: 'deposed'});
			return false;
		}

		for (const {job, version, progress} of updates) {
			const stored = current.find(({key}) => key === progressStoreKey(job));
			const isSame = stored !== undefined && isDeepStrictEqual(stored.value, progress);
			const currentJob = term.task.read().jobs.get(job);
			term.task.send({
				kind: 'stored', job, version: isSame ? version : currentJob?.storedVersion ?? 0, keyVersion: stored?.version ?? 0,
			});
			if (!isSame) {
				dirty.add(job);
			}
		}

		return true;
	};

	/** An earlier removal may have been applied although its reply was lost. */
	const resolveRemovalConflict = (removals: ReadonlyArray<readonly [JobKey, number]>, current: readonly StoredValue[]): boolean => {
		const log = context.log.withPrefix('progress');
		if (current.find(({key}) => key === leaderKey)?.version !== term.leaderVersion) {
			log.warn({jobs: removals.map(([job]) => job), epoch: term.epoch}, 'records were not removed because another entry is the scheduler');
			services.use(leadershipService).send({kind: 'deposed'});
			return false;
		}

		const gone = removals.filter(([job, keyVersion]) => current.find(({key}) => key === progressStoreKey(job))?.version !== keyVersion).map(([job]) => job);
		for (const job of gone) {
			obsolete.delete(job);
		}

		log.info({jobs: gone, epoch: term.epoch}, 'the records of ended jobs were already removed');
		return gone.length > 0;
	};

	/** Removes the records of a batch of jobs. Returns whether the next write may follow at once. */
	const removeRecords = async (): Promise<boolean> => {
		const removals = [...obsolete].slice(0, maximumRemovalsPerTransaction);
		const jobs = removals.map(([job]) => job);
		const reply = await services.use(storePort).commit({
			conditions: [
				{key: leaderKey, expectedVersion: term.leaderVersion},
				...removals.map(([job, keyVersion]) => ({key: progressStoreKey(job), expectedVersion: keyVersion})),
			],
			puts: [],
			removals: jobs.flatMap(job => [jobStoreKey(job), cancellationStoreKey(job), progressStoreKey(job)]),
		});
		switch (reply.kind) {
			case 'committed': {
				for (const job of jobs) {
					obsolete.delete(job);
				}

				context.log.withPrefix('progress').info({jobs, epoch: term.epoch}, 'removed the records of ended jobs');
				return true;
			}

			case 'conflict': {
				return resolveRemovalConflict(removals, reply.current);
			}

			case 'lease-unknown':
			case 'unavailable': {
				counters.countRetry('record-removal');
				context.log.withPrefix('progress').warn({jobs, reply, epoch: term.epoch}, 'records were not removed; retrying');
				return false;
			}
		}
	};

	const writePending = async () => {
		if (isWriting) {
			return;
		}

		isWriting = true;
		while ((dirty.size > 0 || obsolete.size > 0) && !term.isOver()) {
			const canContinue = dirty.size > 0 ? await write() : await removeRecords();
			if (!canContinue && !term.isOver()) {
				await sleep(clock, progressRetryMilliseconds);
			}
		}

		isWriting = false;
	};

	/** Defers the write, so that all changes of one message share a transaction. */
	const scheduleWrite = () => {
		queueMicrotask(() => {
			void writePending();
		});
	};

	return {
		store(job) {
			dirty.add(job);
			scheduleWrite();
		},
		remove(job, keyVersion) {
			obsolete.set(job, keyVersion);
			scheduleWrite();
		},
	};
}
