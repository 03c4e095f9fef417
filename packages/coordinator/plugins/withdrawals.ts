import {createServiceKey} from '#kernel';
import {takeToken, type RateLimit, type RatePermit} from '#limits';
import {withdrawalLimit} from '../constants.js';
import {coordinatorPlugins} from '../plugins.js';

/** Limits how many jobs this entry withdraws: each leaves a record in the store that every later scheduler reads. */
export type Withdrawals = Readonly<{request(): RatePermit}>;

export const withdrawalsService = createServiceKey<Withdrawals>('withdrawals');

coordinatorPlugins.register({
	kind: 'task',
	name: 'withdrawals',
	start({services, clock}) {
		let limit: RateLimit = {tokens: withdrawalLimit.burst, at: clock.monotonic()};
		services.provide(withdrawalsService, {
			request() {
				const taken = takeToken(limit, withdrawalLimit, clock.monotonic());
				limit = taken.limit;
				return taken.permit;
			},
		});
		return () => undefined;
	},
});
