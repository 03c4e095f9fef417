import type {JobKey, JobStep, TaskName} from './types.js';

export type TaskAddress = Readonly<{job: JobKey; occurrence: number; step: number; index: number}>;

/**
Formats the name of a task.

@example
```
formatTaskName({job, occurrence: 0, step: 1, index: 17});
//=> '5c0e7a21d94b36f8.0.1.17'
```
*/
export function formatTaskName({job, occurrence, step, index}: TaskAddress): TaskName {
	return `${job}.${occurrence}.${step}.${index}` as TaskName;
}

/** Parses a validated task name. */
export function parseTaskName(task: TaskName): TaskAddress {
	const [job = '', occurrence, step, index] = task.split('.');
	return {
		job: job as JobKey, occurrence: Number(occurrence), step: Number(step), index: Number(index),
	};
}

/** Returns the job of a validated task name. */
export function parseJobOfTask(task: TaskName): JobKey {
	return task.slice(0, task.indexOf('.')) as JobKey;
}

/** Formats the part of a task's name after the job, which is the key in the job's stored progress. */
export function formatLocalTaskName(task: TaskName): string {
	return task.slice(task.indexOf('.') + 1);
}

/** Lists the task names of one step in one occurrence. */
export function listStepTasks(job: JobKey, occurrence: number, step: number, {count}: JobStep): readonly TaskName[] {
	return Array.from({length: count}, (_, index) => formatTaskName({
		job, occurrence, step, index,
	}));
}
