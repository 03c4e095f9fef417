import type {Timestamp} from '#core';
import type {Usage, WorkerState, WorkerTask} from './types.js';

/** Sums the resources of the running tasks. */
export function sumUsage(tasks: ReadonlyMap<string, WorkerTask>, at: Timestamp): Usage {
	const running = [...tasks.values()].filter(({state}) => state === 'running');
	return {
		at,
		tasks: running.length,
		processors: running.reduce((sum, task) => sum + task.processors, 0),
		memoryMegabytes: running.reduce((sum, task) => sum + task.memoryMegabytes, 0),
		accelerators: running.reduce((sum, task) => sum + task.accelerators.length, 0),
	};
}

/** Records usage after a change and drops samples older than the newest reportable one. */
export function recordUsage(state: WorkerState, now: Timestamp): WorkerState {
	const reportTime = now - state.settings.usageLagMilliseconds;
	const firstRetained = state.usage.findLastIndex(({at}) => at <= reportTime);
	return {...state, usage: [...state.usage.slice(Math.max(0, firstRetained)), sumUsage(state.tasks, now)]};
}

/** Returns the usage as it was `usageLagMilliseconds` ago. */
export function readUsage({settings, usage}: WorkerState, now: Timestamp): Usage {
	const reportTime = now - settings.usageLagMilliseconds;
	return usage.findLast(({at}) => at <= reportTime) ?? {
		at: reportTime, tasks: 0, processors: 0, memoryMegabytes: 0, accelerators: 0,
	};
}
