/** Compares estimates with the real first starts of jobs. */
import type {Milliseconds, MonotonicTime} from '#core';
import type {JobKey} from '#jobs';
import {maximumTrackedEstimates} from './constants.js';
import {estimateJob} from './estimate.js';
import type {Forecast, ForecastJob} from './types.js';

/** The estimate that a job was given at its acceptance. */
export type TrackedEstimate = Readonly<{arrivedAt: MonotonicTime; estimated: Milliseconds}>;
/** Estimates of jobs that have not started. */
export type TrackedEstimates = ReadonlyMap<JobKey, TrackedEstimate>;

/** A job that the scheduler holds. `startedAt` is undefined until its first task starts. */
export type ObservedJob = Readonly<{
	job: ForecastJob;
	/** Whether it arrived since the jobs were observed last. */
	isNew: boolean;
	arrivedAt: MonotonicTime;
	startedAt: MonotonicTime | undefined;
}>;

/** Times from the acceptance of a job to its first start. */
export type EstimateError = Readonly<{job: JobKey; estimated: Milliseconds; actual: Milliseconds}>;

/** Estimates the starts of new jobs by the last forecast, which did not include them, and compares those of jobs that started. An estimate ends with its job. */
export function trackEstimates(tracked: TrackedEstimates, jobs: readonly ObservedJob[], forecast: Forecast | undefined): Readonly<{tracked: TrackedEstimates; errors: readonly EstimateError[]}> {
	const remaining = new Map<JobKey, TrackedEstimate>();
	const errors: EstimateError[] = [];
	for (const observed of jobs) {
		const {job: {job}, startedAt} = observed;
		const current = tracked.get(job) ?? (forecast === undefined ? undefined : createEstimate(observed, forecast));
		if (current === undefined) {
			continue;
		}

		if (startedAt !== undefined) {
			errors.push({job, estimated: current.estimated, actual: Math.max(0, startedAt - current.arrivedAt)});
		} else if (remaining.size < maximumTrackedEstimates) {
			remaining.set(job, current);
		}
	}

	return {tracked: remaining, errors};
}

function createEstimate({job, isNew, arrivedAt}: ObservedJob, forecast: Forecast): TrackedEstimate | undefined {
	const estimate = isNew && job.request.schedule === undefined ? estimateJob(forecast, job) : undefined;
	return estimate?.kind === 'estimated' ? {arrivedAt, estimated: estimate.usual.start} : undefined;
}
