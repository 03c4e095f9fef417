import type {ExecutionState} from './types.js';

/** The agent's load, summed over plans, as it is reported. */
export type Load = Readonly<{
	shortQueued: number;
	shortRunning: number;
	longQueued: number;
	longRunning: number;
	started: number;
	failed: number;
}>;

export function describeLoad({queue, totals}: ExecutionState): Load {
	let longQueued = 0;
	for (const {classes} of queue.plans.values()) {
		longQueued += classes.long.items.length;
	}

	return {
		shortQueued: queue.queued - longQueued,
		shortRunning: queue.running.size - queue.longRunning,
		longQueued,
		longRunning: queue.longRunning,
		...totals,
	};
}
