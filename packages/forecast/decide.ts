/** Decides about a job by the time at which it would start and end. */
import type {MonotonicTime} from '#core';
import {
	forecastValidityMilliseconds, minimumRetryMilliseconds, worthlessObjectives,
} from './constants.js';
import {estimateJob, findObjective, findPool} from './estimate.js';
import {isOverEqualShare, isWithinGuarantee} from './teams.js';
import type {Forecast, ForecastDecision, ForecastJob} from './types.js';

/**
Decides whether a job is accepted, accepted although it will wait, or refused. Addresses a team's surge that exceeds the capacity: jobs that would earn nothing are refused at once, and do not delay those of other teams.

A job is refused only if even the optimistic estimate of its end is too late for it to earn anything, it is not within its team's guarantee, and the team holds more than its equal share of the waiting work. A wrong refusal costs a caller more than a late job.

@example
```
decideByForecast(undefined, submission, now);
//=> {kind: 'accept', reason: 'no-forecast'}
```
*/
export function decideByForecast(forecast: Forecast | undefined, job: ForecastJob, now: MonotonicTime): ForecastDecision {
	if (forecast === undefined || now - forecast.at > forecastValidityMilliseconds) {
		return {kind: 'accept', reason: 'no-forecast'};
	}

	if (job.request.schedule !== undefined) {
		return {kind: 'accept', reason: 'scheduled'};
	}

	if (job.request.steps.some(({isLongRunning}) => isLongRunning)) {
		return {kind: 'accept', reason: 'long-running'};
	}

	const estimate = estimateJob(forecast, job);
	const pool = findPool(forecast, job);
	if (estimate.kind === 'unknown' || pool === undefined) {
		return {kind: 'wait', reason: estimate.kind === 'unknown' ? estimate.reason : 'no-workers', estimate};
	}

	const objective = findObjective(job);
	if (estimate.usual.end <= objective) {
		return {kind: 'accept', reason: 'on-time'};
	}

	if (estimate.optimistic.end <= worthlessObjectives * objective) {
		return {kind: 'wait', reason: 'late', estimate};
	}

	if (isWithinGuarantee(pool, job)) {
		return {kind: 'wait', reason: 'within-guarantee', estimate};
	}

	return isOverEqualShare(pool, job)
		? {
			kind: 'refuse', reason: 'no-capacity-in-time', retryAfterMilliseconds: Math.max(minimumRetryMilliseconds, Math.ceil(estimate.worthwhileIn)), estimate,
		}
		: {kind: 'wait', reason: 'within-equal-share', estimate};
}
