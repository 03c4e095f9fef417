/** Decides whether a job is accepted, by the memory that it and the other jobs need in the scheduler. */
import type {Milliseconds} from '#core';
import {bytesPerTask, memoryBudgetBytes} from './memory.js';

/** Memory that jobs need at present. */
export type MemoryUse = Readonly<{
	total: number;
	/** Part of the job's tenant. */
	tenant: number;
	/** Memory of tasks that was freed by the ends of jobs lately, in bytes a second. */
	freedPerSecond: number;
}>;

export type JobAdmission =
	| Readonly<{kind: 'admitted'}>
	/** The job can be accepted once others have ended. */
	| Readonly<{kind: 'refused'; retryAfterMilliseconds: Milliseconds}>
	/** The job could not be held beside no other one. */
	| Readonly<{kind: 'too-large'; maximumTasks: number}>;

/** Largest share of the memory that other tenants leave which one tenant may use, so that there is always room for another one. */
const tenantShare = 0.5;
const minimumRetryMilliseconds = 1000;
const maximumRetryMilliseconds = 60_000;

/**
Decides about a job that needs the given memory.

@example
```
decideAdmission(1_000_000, {total: 0, tenant: 0, freedPerSecond: 0});
//=> {kind: 'admitted'}
```
*/
export function decideAdmission(bytes: number, {total, tenant, freedPerSecond}: MemoryUse): JobAdmission {
	if (bytes > memoryBudgetBytes * tenantShare) {
		return {kind: 'too-large', maximumTasks: Math.floor(memoryBudgetBytes * tenantShare / bytesPerTask)};
	}

	const missing = tenant + bytes - (tenantShare * (memoryBudgetBytes - (total - tenant)));
	return missing <= 0
		? {kind: 'admitted'}
		: {kind: 'refused', retryAfterMilliseconds: Math.min(maximumRetryMilliseconds, Math.max(minimumRetryMilliseconds, Math.ceil(missing * 1000 / freedPerSecond)))};
}
