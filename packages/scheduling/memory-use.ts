import type {MonotonicTime} from '#core';
import type {SchedulerState} from './types.js';

/** Time over which the freed memory is averaged. */
const freedWindowMilliseconds = 30_000;

/** Memory that the scheduler's jobs need by estimate, open or not. */
export type SchedulerMemoryUse = Readonly<{
	total: number;
	/** By name; jobs without a tenant count under an empty one. */
	tenants: ReadonlyMap<string, number>;
	freedPerSecond: number;
}>;

/** Measures the memory of all jobs: their records until these are removed, and their tasks until the jobs end. */
export function measureMemoryUse({jobs}: SchedulerState, monotonic: MonotonicTime): SchedulerMemoryUse {
	const tenants = new Map<string, number>();
	let total = 0;
	let freed = 0;
	for (const {memory: {recordBytes, taskBytes}, submission: {tenant = ''}, endedAtMonotonic} of jobs.values()) {
		const bytes = recordBytes + (endedAtMonotonic === undefined ? taskBytes : 0);
		total += bytes;
		tenants.set(tenant, (tenants.get(tenant) ?? 0) + bytes);
		freed += endedAtMonotonic !== undefined && monotonic - endedAtMonotonic < freedWindowMilliseconds ? taskBytes : 0;
	}

	return {total, tenants, freedPerSecond: freed * 1000 / freedWindowMilliseconds};
}
