import type {Milliseconds, RequestWork, ServiceClass} from '#core';
import {maximumObservedKinds, minimumObservations, observationWeight} from './constants.js';

type Observation = Readonly<{count: number; logMean: number}>;

/** Mean service times per plan and kind, least recently seen first. */
export type Observations = ReadonlyMap<string, Observation>;

export type ServiceEstimate = Readonly<{serviceClass: ServiceClass; estimatedMilliseconds: Milliseconds}>;

/** Records the service time of one run. The mean is geometric, so that a rare straggler hardly changes it. */
export function recordServiceTime(observations: Observations, work: RequestWork, serviceMilliseconds: Milliseconds): Observations {
	const key = keyOf(work);
	const known = observations.get(key);
	const logarithm = Math.log(Math.max(1, serviceMilliseconds));
	const next = new Map(observations);
	next.delete(key);
	if (next.size >= maximumObservedKinds) {
		const [oldest] = next.keys();
		next.delete(oldest ?? key);
	}

	return next.set(key, known === undefined
		? {count: 1, logMean: logarithm}
		: {count: known.count + 1, logMean: known.logMean + ((logarithm - known.logMean) * Math.max(observationWeight, 1 / (known.count + 1)))});
}

/** Returns the agent's own estimate if it has enough observations of the kind, otherwise the entry's estimate. */
export function estimateServiceTime(observations: Observations, work: RequestWork, entryEstimate: ServiceEstimate, shortLimit: Milliseconds): ServiceEstimate {
	const known = observations.get(keyOf(work));
	if (known === undefined || known.count < minimumObservations) {
		return entryEstimate;
	}

	const estimatedMilliseconds = Math.exp(known.logMean);
	return {serviceClass: estimatedMilliseconds > shortLimit ? 'long' : 'short', estimatedMilliseconds};
}

function keyOf({plan, kind}: RequestWork): string {
	// Plan names contain no space.
	return `${plan} ${kind}`;
}
