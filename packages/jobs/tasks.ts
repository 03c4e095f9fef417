import type {JobKey, JobStep, TaskName} from './types.js';

export type TaskAddress = Readonly<{job: JobKey; occurrence: number; step: number; index: number}>;

/**
Names a task.

@example
```
formatTaskName({job, occurrence: 0, step: 1, index: 17});
//=> '5c0e7a21d94b36f8.0.1.17'
```
*/
export function formatTaskName({job, occurrence, step, index}: TaskAddress): TaskName {
	return `${job}.${occurrence}.${step}.${index}` as TaskName;
}

/** Takes a checked task name apart. */
export function parseTaskName(task: TaskName): TaskAddress {
	const [job = '', occurrence, step, index] = task.split('.');
	return {
		job: job as JobKey, occurrence: Number(occurrence), step: Number(step), index: Number(index),
	};
}

/** The part of a task's name after its job; the key in a job's stored progress. */
export function formatLocalTaskName(task: TaskName): string {
	return task.slice(task.indexOf('.') + 1);
}

/** Names the tasks of one step of one occurrence. */
export function listStepTasks(job: JobKey, occurrence: number, step: number, {count}: JobStep): readonly TaskName[] {
	return Array.from({length: count}, (_, index) => formatTaskName({
		job, occurrence, step, index,
	}));
}
