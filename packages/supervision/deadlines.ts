import type {Milliseconds, MonotonicTime} from '#core';
import {maximumClockDriftRatio} from './constants.js';
import type {SupervisionOptions} from './state.js';
import type {SupervisedWorker, SupervisionState} from './types.js';

/** Estimates the worker's clock. The reading is as old as its answer's way, so the estimate is never ahead. */
export function estimateWorkerClock({clock}: SupervisedWorker, monotonic: MonotonicTime): Milliseconds | undefined {
	return clock === undefined ? undefined : clock.worker + ((monotonic - clock.monotonic) * (1 - maximumClockDriftRatio));
}

/** A time on the worker's clock, undefined if no lease may be given, and the same time on the agent's own. */
type Deadline = Readonly<{deadline: Milliseconds | undefined; leaseUntil: MonotonicTime}>;

/** Extends nothing. */
export const noDeadline: Deadline = {deadline: undefined, leaseUntil: 0};

/** Time on the worker's clock until which leases may last now, and the same on the agent's own. */
export function computeLeaseDeadline(state: SupervisionState, monotonic: MonotonicTime, {maximumLeaseMilliseconds}: SupervisionOptions): Deadline {
	const {worker, grantUntil} = state;
	const workerClock = worker === undefined ? undefined : estimateWorkerClock(worker, monotonic);
	const remaining = Math.min(grantUntil - monotonic, maximumLeaseMilliseconds);
	return workerClock === undefined || remaining <= 0
		? noDeadline
		: {deadline: Math.floor(workerClock + remaining), leaseUntil: monotonic + remaining};
}
