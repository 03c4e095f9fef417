export * from './types.js';
export {
	beliefMilliseconds, comparableRuns, rememberedOfKind, rememberedPairs, rememberedWindows, rememberedWorkers,
} from './constants.js';
export {
	countBeliefs, createPaceState, expirePace, recordPace,
} from './record.js';
export {estimateInterference, listConflicts} from './interference.js';
export {
	estimateSpeed, findSpeedStep, isSlow, keyOfWorker,
} from './speeds.js';
