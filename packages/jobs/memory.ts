/** Estimates the memory that the scheduler needs for a job, by which entries decide whether they accept it. */
import type {JobRequest} from './types.js';

/** Memory for all jobs: as much as the tasks that the scheduler holds at most may take. */
export const memoryBudgetBytes = 40_000_000;
/** Memory of one task whose occurrence is open. */
export const bytesPerTask = 850;
/** Memory of a job beside its tasks and its request. */
const bytesPerJob = 2000;
/** Memory of a request as a multiple of the length of its JSON text. */
const bytesPerCharacter = 3;

/** Number of tasks in one occurrence of a job. */
export function countTasksOfOccurrence({steps}: Pick<JobRequest, 'steps'>): number {
	return steps.reduce((total, {count}) => total + count, 0);
}

/** Number of tasks over all occurrences. */
export function countAllTasks(request: Pick<JobRequest, 'steps' | 'schedule'>): number {
	return countTasksOfOccurrence(request) * (request.schedule?.occurrences ?? 1);
}

/**
Estimates how many occurrences of a job are open at the same time: each is open from its due time until its tasks have ended.

@example
```
countOverlappingOccurrences({steps: [{...step, estimatedMilliseconds: 500}], schedule: {firstRunAt, intervalMilliseconds: 60_000, occurrences: 1000}});
//=> 2
```
*/
export function countOverlappingOccurrences({steps, schedule}: Pick<JobRequest, 'steps' | 'schedule'>): number {
	if (schedule === undefined) {
		return 1;
	}

	const duration = steps.reduce((total, {estimatedMilliseconds}) => total + estimatedMilliseconds, 0);
	return Math.min(schedule.occurrences, 1 + Math.ceil(duration / Math.max(1, schedule.intervalMilliseconds)));
}

/** Longest request that is accepted, as JSON text; the store takes values of up to 1 MB. */
export const maximumRequestCharacters = 262_144;

/** Memory of a job whose tasks are not held: one that ended, or of which no occurrence is open. */
export function estimateRecordBytes(request: JobRequest): number {
	return bytesPerJob + (bytesPerCharacter * JSON.stringify(request).length);
}

/** Memory of the tasks of an open job. */
export function estimateTaskBytes(request: Pick<JobRequest, 'steps' | 'schedule'>): number {
	return bytesPerTask * countTasksOfOccurrence(request) * countOverlappingOccurrences(request);
}
