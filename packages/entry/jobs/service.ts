import {createServiceKey, type TaskHandle} from '#kernel';
import type {JobId} from '#core';
import type {JobRecord} from '#recovery';
import type {DriverMessage, DriverState} from './driver-types.js';

export type DriverHandle = TaskHandle<DriverState, DriverMessage>;

/** The drivers of the jobs that this entry owns, including concluded jobs that it still retains. */
export type JobsService = Readonly<{
	/** Starts the driver of a job whose record this entry has just written. */
	startDriver(record: JobRecord, version: number): DriverHandle;
	/** Finds the driver of a job that this entry owns, or of a concluded job that it still retains. */
	find(job: JobId): DriverHandle | undefined;
	list(): readonly DriverHandle[];
	/** Releases every job without stopping its gang, so that other entries adopt the jobs. */
	releaseAll(): void;
}>;

export const jobsService = createServiceKey<JobsService>('jobs');
