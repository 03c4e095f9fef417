export * from './types.js';
export * from './constants.js';
export * from './receive.js';
export {
	countPending, createSchedulerState, findTask,
} from './state.js';
export {
	countRunsInClosedZones, isInClosedZone, listClosedZones, type ZoneContents,
} from './closed-zones.js';
export {countOpenTasks} from './occurrences.js';
export {measureMemoryUse, type SchedulerMemoryUse} from './memory-use.js';
export {defaultPolicy, type KeepApart, type SchedulingPolicy} from './policy.js';
export {describeProgress} from './progress.js';
export {measureWaitForStarts} from './unanswered-starts.js';
export {describeLoad, observeStarts} from './load.js';
export * from './explain.js';
export {passedOverReasons, type PassedOver, type PassedOverReason} from './passed-over.js';
export {waitReasons, type WaitReason} from './wait-logs.js';
