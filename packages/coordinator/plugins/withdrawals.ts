import {createServiceKey} from '#kernel';
import {
	takeToken, type RateLimit, type RatePermit, type RateLimitSettings,
} from '#limits';
import type {CoordinatorContext} from '../types.js';
import {refusalRecordLimit, withdrawalLimit} from '../constants.js';
import {coordinatorPlugins} from '../plugins.js';

/** Limits how many jobs this entry withdraws: each leaves a record in the store that every later scheduler reads. */
export type Withdrawals = Readonly<{request(): RatePermit}>;

export const withdrawalsService = createServiceKey<Withdrawals>('withdrawals');

/** Limits how many refusal records this entry writes: each key that a caller invents may leave one. */
export const refusalPermitsService = createServiceKey<Withdrawals>('refusal-permits');

function createPermits(settings: RateLimitSettings, {clock}: CoordinatorContext): Withdrawals {
	let limit: RateLimit = {tokens: settings.burst, at: clock.monotonic()};
	return {
		request() {
			const taken = takeToken(limit, settings, clock.monotonic());
			limit = taken.limit;
			return taken.permit;
		},
	};
}

coordinatorPlugins.register({
	kind: 'task',
	name: 'withdrawals',
	start(context) {
		context.services.provide(withdrawalsService, createPermits(withdrawalLimit, context));
		context.services.provide(refusalPermitsService, createPermits(refusalRecordLimit, context));
		return () => undefined;
	},
});
