import type {StoreSwitches} from './types.js';

/** Rates of the platform's service and a history that is long enough for a watch that reconnects. */
export const initialSwitches: StoreSwitches = {
	outage: false,
	hang: false,
	slownessMilliseconds: 0,
	loseWriteAnswers: 0,
	writesPerSecond: 500,
	readsPerSecond: 2000,
	historyLimit: 1000,
};
/** How long a refused caller is asked to wait. */
export const rateLimitRetryMilliseconds = 200;
