import type {Milliseconds, MonotonicTime} from '#core';
import {maximumClockDriftRatio} from './constants.js';
import type {SupervisionOptions} from './state.js';
import type {SupervisedWorker, SupervisionMessage, SupervisionState} from './types.js';

/** Estimates the worker's current clock. A reading is older than its receipt by the answer's network latency, so the estimate is never ahead. */
export function estimateWorkerClock({clock}: SupervisedWorker, monotonic: MonotonicTime): Milliseconds | undefined {
	return clock === undefined ? undefined : clock.worker + ((monotonic - clock.monotonic) * (1 - maximumClockDriftRatio));
}

/** Whether an answer came from this incarnation of the worker. The clock of a later one begins anew, and so is behind the estimate for the time of the call. */
export function isAnswerOf(worker: SupervisedWorker, clock: Milliseconds | undefined, sentAt: MonotonicTime): boolean {
	const estimate = estimateWorkerClock(worker, sentAt);
	return clock !== undefined && estimate !== undefined && clock >= Math.floor(estimate);
}

/** Expiry of a lease on the worker's clock, undefined if none may be granted, and the same time on the agent's clock. */
type Deadline = Readonly<{deadline: Milliseconds | undefined; leaseUntil: MonotonicTime}>;

/** Extends no lease. */
export const noDeadline: Deadline = {deadline: undefined, leaseUntil: 0};

/**
Computes the latest expiry that leases may be given now; it never exceeds the grant.

The grant's expiry counts on the worker's clock as well: a suspension of the agent's machine, during which its clock stands still, is not noticed if its wall clock is set back meanwhile.
*/
export function computeLeaseDeadline(state: SupervisionState, monotonic: MonotonicTime, {maximumLeaseMilliseconds}: Pick<SupervisionOptions, 'maximumLeaseMilliseconds'>): Deadline {
	const {worker, grantUntil} = state;
	const workerClock = worker === undefined ? undefined : estimateWorkerClock(worker, monotonic);
	if (worker?.grantDeadline === undefined || workerClock === undefined) {
		return noDeadline;
	}

	const remaining = Math.min(grantUntil - monotonic, worker.grantDeadline - workerClock, maximumLeaseMilliseconds);
	return remaining <= 0 ? noDeadline : {deadline: Math.floor(workerClock + remaining), leaseUntil: monotonic + remaining};
}

/** Applies a grant to the worker that its renewal reported. */
export function extendGrant(worker: SupervisedWorker, {reported, validity}: Pick<Extract<SupervisionMessage, {kind: 'granted'}>, 'reported' | 'validity'>): SupervisedWorker {
	return reported?.clock === undefined || reported.incarnation !== worker.announcement.incarnation
		? worker
		: {...worker, grantDeadline: Math.max(worker.grantDeadline ?? -Infinity, reported.clock + validity)};
}

/** Records until when the worker's leases may last. */
export function recordLease(state: SupervisionState, leaseUntil: MonotonicTime): SupervisionState {
	return state.worker === undefined ? state : {...state, worker: {...state.worker, leaseUntil: Math.max(state.worker.leaseUntil, leaseUntil)}};
}
