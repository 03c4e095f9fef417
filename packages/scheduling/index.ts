export * from './types.js';
export * from './constants.js';
export * from './receive.js';
export {
	countPending, createSchedulerState, findTask,
} from './state.js';
export {countOpenTasks} from './occurrences.js';
export {measureMemoryUse, type SchedulerMemoryUse} from './memory-use.js';
export {describeProgress} from './progress.js';
export {measureWaitForStarts} from './unanswered-starts.js';
export {describeLoad, observeStarts} from './load.js';
