import {createServiceKey} from '#kernel';
import {startLeaseTask, type LeaseHandle} from '#store';
import {entryLeaseMilliseconds, storeRetryMaximumMilliseconds} from '../constants.js';
import {coordinatorPlugins} from '../plugins.js';
import {storePort} from '../ports.js';

/** Lease of this entry in the store; its registration and its leader record are held under it. */
export const leaseService = createServiceKey<LeaseHandle>('lease');

coordinatorPlugins.register({
	kind: 'task',
	name: 'lease',
	start({clock, random, services, log}) {
		const lease = startLeaseTask({
			store: services.use(storePort), clock, random, timeToLive: entryLeaseMilliseconds, maximumBackoff: storeRetryMaximumMilliseconds,
		});
		services.provide(leaseService, lease);
		lease.onChanged(identifier => {
			if (identifier === undefined) {
				log.withPrefix('lease').warn({}, 'lost the lease of this entry');
			} else {
				log.withPrefix('lease').info({lease: identifier}, 'obtained a lease from the store');
			}
		});
		return () => {
			void lease.stop();
		};
	},
});
