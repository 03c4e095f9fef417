/** Admission by the forecast in virtual time. */
import type {Milliseconds, MonotonicTime} from '#core';
import {
	addAdmittedJobs, createForecast, decideByForecast, trackEstimates, type EstimateError, type Forecast, type TrackedEstimates,
} from '#forecast';
import type {JobKey, JobSubmission} from '#jobs';
import {describeLoad, observeStarts, type SchedulerState} from '#scheduling';

/** Which jobs are accepted: all, or those that the forecast does not refuse. Callers do not return after a refusal. */
export type ModelAdmission = 'all' | 'by-forecast';

export type Forecasting = Readonly<{
	refused: ReadonlyMap<JobKey, Milliseconds>;
	errors: readonly EstimateError[];
	durations: readonly Milliseconds[];
	accepts(submission: JobSubmission, time: MonotonicTime): boolean;
	update(state: SchedulerState, time: number): void;
}>;

/** Forecasts as the scheduler's entry does, at its interval. */
export function createForecasting(admission: ModelAdmission): Forecasting {
	const refused = new Map<JobKey, Milliseconds>();
	const errors: EstimateError[] = [];
	const durations: Milliseconds[] = [];
	let forecast: Forecast | undefined;
	let admitted: JobSubmission[] = [];
	let tracked: TrackedEstimates = new Map();
	let jobs: SchedulerState['jobs'] | undefined;
	return {
		refused,
		errors,
		durations,
		accepts(submission, time) {
			const decision = decideByForecast(forecast === undefined ? undefined : addAdmittedJobs(forecast, admitted), submission, time);
			if (admission === 'by-forecast' && decision.kind === 'refuse') {
				refused.set(submission.job, decision.retryAfterMilliseconds);
				return false;
			}

			admitted.push(submission);
			return true;
		},
		update(state, time) {
			const startedAt = performance.now();
			const load = describeLoad(state, {now: time, monotonic: time});
			const result = trackEstimates(tracked, observeStarts(state, jobs ?? state.jobs, tracked.keys(), time), forecast);
			({tracked} = result);
			({jobs} = state);
			forecast = load === undefined ? undefined : createForecast(load, time);
			durations.push(performance.now() - startedAt);
			errors.push(...result.errors);
			admitted = [];
		},
	};
}
