/** Decisions of which the bench compares several ways. */

/**
- `lastAttempts`: whether a task that failed on all but its last attempt is tried `alone` before the job's other waiting tasks, or `together` with them.
- `unstableWorkers`: whether work that cannot save its progress is placed on workers that lately came and went like on others (`equal`), or only if no others have room (`last`).
*/
export type SchedulingPolicy = Readonly<{
	lastAttempts: 'together' | 'alone';
	unstableWorkers: 'equal' | 'last';
}>;

export const defaultPolicy: SchedulingPolicy = {lastAttempts: 'alone', unstableWorkers: 'last'};
