import {createServiceKey} from '#kernel';
import {entryLeaseMilliseconds} from '#protocol';
import {startLeaseTask, type LeaseHandle} from '#store';
import {entryPlugins} from '../plugins.js';
import {storeService} from './store.js';

/** The store lease of this entry. */
export const entryLeaseService = createServiceKey<LeaseHandle>('entry-lease');

entryPlugins.register({
	kind: 'task',
	name: 'entry-lease',
	start({clock, random, services}) {
		const lease = startLeaseTask({
			store: services.use(storeService), clock, random, timeToLive: entryLeaseMilliseconds,
		});
		services.provide(entryLeaseService, lease);
		return () => {
			void lease.stop();
		};
	},
});
