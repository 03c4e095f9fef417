/** Stores the progress of jobs: one transaction at a time, on the condition that this entry still schedules. */
import {pause} from '#kernel';
import {isDeepStrictEqual} from 'node:util';
import type {JobKey, JobProgress} from '#jobs';
import {describeProgress} from '#scheduling';
import type {CommitReply} from '#store';
import {maximumJobsPerTransaction, maximumRemovalsPerTransaction, progressRetryMilliseconds} from './constants.js';
import {
	cancellationPath, jobPath, leaderKey, progressPath,
} from './keys.js';
import {leadershipService} from './plugins/leadership.js';
import {storePort} from './ports.js';
import type {Term} from './plugins/scheduler.js';
import type {CoordinatorContext} from './types.js';

export type ProgressWriter = Readonly<{
	/** Stores the latest progress of the job soon. */
	store(job: JobKey): void;
	/** Removes all records of a job that ended long ago. */
	remove(job: JobKey): void;
}>;

type Entry = Readonly<{job: JobKey; version: number; keyVersion: number; progress: JobProgress}>;

export function startProgressWriter(term: Pick<Term, 'leaderVersion' | 'isOver' | 'task' | 'epoch'>, context: CoordinatorContext): ProgressWriter {
	const {services, clock, counters} = context;
	const dirty = new Set<JobKey>();
	const obsolete = new Set<JobKey>();
	let isWriting = false;

	const readEntries = (): readonly Entry[] => [...dirty].slice(0, maximumJobsPerTransaction).flatMap(key => {
		const job = term.task.read().jobs.get(key);
		return job === undefined
			? []
			: [{
				job: key, version: job.version, keyVersion: job.keyVersion, progress: describeProgress(job),
			}];
	});

	const write = async (): Promise<boolean> => {
		const entries = readEntries();
		for (const {job} of entries) {
			dirty.delete(job);
		}

		const sentAt = clock.monotonic();
		const reply = await services.use(storePort).commit({
			conditions: [
				{key: leaderKey, expectedVersion: term.leaderVersion},
				...entries.map(({job, keyVersion}) => ({key: progressPath(job), expectedVersion: keyVersion})),
			],
			puts: entries.map(({job, progress}) => ({key: progressPath(job), value: progress})),
			removals: [],
		});
		counters.recordLatency('store-progress', clock.monotonic() - sentAt);
		return !term.isOver() && accept(entries, reply);
	};

	/** Returns whether the next write may follow at once. */
	const accept = (entries: readonly Entry[], reply: CommitReply): boolean => {
		switch (reply.kind) {
			case 'committed': {
				for (const {job, version} of entries) {
					term.task.send({
						kind: 'stored', job, version, keyVersion: reply.version,
					});
				}

				return true;
			}

			case 'conflict': {
				return resolveConflict(entries, reply.current);
			}

			case 'lease-unknown':
			case 'unavailable': {
				counters.countRetry('progress-write');
				context.log.part('progress').warn({jobs: entries.map(({job}) => job), reply, epoch: term.epoch}, 'progress was not stored; trying again');
				for (const {job} of entries) {
					dirty.add(job);
				}

				return false;
			}
		}
	};

	/** An earlier write may have been carried out without an answer; then the store holds what was to be written. */
	const resolveConflict = (entries: readonly Entry[], current: Extract<CommitReply, {kind: 'conflict'}>['current']): boolean => {
		const leader = current.find(({key}) => key === leaderKey);
		if (leader?.version !== term.leaderVersion) {
			context.log.part('progress').warn({epoch: term.epoch, leader: leader?.value}, 'progress was refused since another scheduler is in charge');
			services.use(leadershipService).send({kind: 'deposed'});
			return false;
		}

		for (const {job, version, progress} of entries) {
			const stored = current.find(({key}) => key === progressPath(job));
			const isSame = stored !== undefined && isDeepStrictEqual(stored.value, progress);
			const present = term.task.read().jobs.get(job);
			term.task.send({
				kind: 'stored', job, version: isSame ? version : present?.storedVersion ?? 0, keyVersion: stored?.version ?? 0,
			});
			if (!isSame) {
				dirty.add(job);
			}
		}

		return true;
	};

	/** Removes the records of some jobs and returns whether the next write may follow at once. */
	const removeRecords = async (): Promise<boolean> => {
		const jobs = [...obsolete].slice(0, maximumRemovalsPerTransaction);
		const reply = await services.use(storePort).commit({
			conditions: [{key: leaderKey, expectedVersion: term.leaderVersion}],
			puts: [],
			removals: jobs.flatMap(job => [jobPath(job), cancellationPath(job), progressPath(job)]),
		});
		switch (reply.kind) {
			case 'committed': {
				for (const job of jobs) {
					obsolete.delete(job);
				}

				context.log.part('progress').info({jobs, epoch: term.epoch}, 'records of ended jobs were removed');
				return true;
			}

			case 'conflict': {
				context.log.part('progress').warn({jobs, epoch: term.epoch}, 'removal was refused since another scheduler is in charge');
				services.use(leadershipService).send({kind: 'deposed'});
				return false;
			}

			case 'lease-unknown':
			case 'unavailable': {
				counters.countRetry('record-removal');
				context.log.part('progress').warn({jobs, reply, epoch: term.epoch}, 'records were not removed; trying again');
				return false;
			}
		}
	};

	const run = async () => {
		if (isWriting) {
			return;
		}

		isWriting = true;
		while ((dirty.size > 0 || obsolete.size > 0) && !term.isOver()) {
			const isReady = dirty.size > 0 ? await write() : await removeRecords();
			if (!isReady && !term.isOver()) {
				await pause(clock, progressRetryMilliseconds);
			}
		}

		isWriting = false;
	};

	/** All changes of one message are written together. */
	const runSoon = () => {
		queueMicrotask(() => {
			void run();
		});
	};

	return {
		store(job) {
			dirty.add(job);
			runSoon();
		},
		remove(job) {
			obsolete.add(job);
			runSoon();
		},
	};
}
