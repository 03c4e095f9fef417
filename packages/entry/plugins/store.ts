import {createServiceKey} from '#kernel';
import {createHttpStore, type KeyValueStore} from '#store';
import {entryPlugins} from '../plugins.js';

/** Client of the platform's key-value service. */
export const storeService = createServiceKey<KeyValueStore>('store');

entryPlugins.register({
	kind: 'task',
	name: 'store',
	start({settings, services}) {
		const store = createHttpStore(settings['store-origin']);
		services.provide(storeService, store);
		return () => {
			void store.close();
		};
	},
});
