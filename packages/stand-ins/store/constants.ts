import type {StoreSwitches} from './types.js';

/** Rate limits of the platform's service, and a history long enough for a watch to resume after a reconnect. */
export const initialSwitches: StoreSwitches = {
	outage: false,
	hang: false,
	slownessMilliseconds: 0,
	loseWriteAnswers: 0,
	writesPerSecond: 500,
	readsPerSecond: 2000,
	historyLimit: 1000,
};
/** Retry delay sent with a 429 response. */
export const rateLimitRetryMilliseconds = 200;
