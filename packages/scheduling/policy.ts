/** Decisions of which the bench compares several ways. */

export type KeepApart = 'on' | 'off';

/**
- `lastAttempts`: whether a task that failed on all but its last attempt is tried `alone` before the job's other waiting tasks, or `together` with them.
- `unstableWorkers`: whether work that cannot save its progress is placed on workers that lately came and went like on others (`equal`), or only if no others have room (`last`).
- `keepApart`: whether tasks that slow each other down are kept apart where there is capacity.
*/
export type SchedulingPolicy = Readonly<{
	lastAttempts: 'together' | 'alone';
	unstableWorkers: 'equal' | 'last';
	keepApart: KeepApart;
}>;

export const defaultPolicy: SchedulingPolicy = {lastAttempts: 'alone', unstableWorkers: 'last', keepApart: 'on'};
