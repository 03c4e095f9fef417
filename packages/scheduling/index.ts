export * from './types.js';
export * from './constants.js';
export * from './receive.js';
export {
	countPending, createSchedulerState, findTask,
} from './state.js';
export {countOpenTasks} from './occurrences.js';
export {describeProgress} from './progress.js';
export {measureWaitForStarts} from './unanswered-starts.js';
