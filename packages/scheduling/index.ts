export * from './types.js';
export * from './constants.js';
export * from './receive.js';
export {
	countPending, createSchedulerState, describeProgress, findTask,
} from './state.js';
export {measureWaitForStarts} from './unanswered-starts.js';
