import type {Milliseconds, PlanName, ServiceClass} from '#core';
import {
	defaultEstimateMilliseconds, maximumObservedKinds, minimumObservations, maximumServiceTimesPerKind, shortLimitMilliseconds,
} from './constants.js';

/** The latest service times per plan and kind, oldest first. */
export type ServiceTimes = ReadonlyMap<string, readonly Milliseconds[]>;

export type ServiceEstimate = Readonly<{serviceClass: ServiceClass; estimatedMilliseconds: Milliseconds}>;

export const initialServiceTimes: ServiceTimes = new Map();

function keyOf(plan: PlanName, kind: string): string {
	return `${plan}/${kind}`;
}

/** Records one service time. */
export function observeServiceTime(times: ServiceTimes, {plan, kind}: Readonly<{plan: PlanName; kind: string}>, serviceMilliseconds: Milliseconds): ServiceTimes {
	const key = keyOf(plan, kind);
	const next = new Map(times);
	const observed = next.get(key) ?? [];
	// Deleting first moves the key to the end, so that the first key is the least recently observed one.
	next.delete(key);
	next.set(key, [...observed.slice(-(maximumServiceTimesPerKind - 1)), serviceMilliseconds]);
	if (next.size > maximumObservedKinds) {
		next.delete(next.keys().next().value ?? key);
	}

	return next;
}

/**
Estimates the service time and class of a request.

Uses the median of the observed times, because a few stragglers of fifty times the usual length would double the mean. The declared time is only an initial estimate.
*/
export function estimateService(times: ServiceTimes, work: Readonly<{plan: PlanName; kind: string; declaredMilliseconds?: Milliseconds | undefined}>): ServiceEstimate {
	const observed = times.get(keyOf(work.plan, work.kind)) ?? [];
	const estimatedMilliseconds = observed.length < minimumObservations
		? work.declaredMilliseconds ?? defaultEstimateMilliseconds
		: medianOf(observed);
	return {serviceClass: estimatedMilliseconds > shortLimitMilliseconds ? 'long' : 'short', estimatedMilliseconds};
}

function medianOf(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
