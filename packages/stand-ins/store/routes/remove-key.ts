import {storePlugins} from '../plugins.js';
import {callStore} from '../call.js';

storePlugins.register({
	kind: 'http-route',
	name: 'remove-key',
	method: 'DELETE',
	path: '/keys/:key',
	handle: async ({parameters, query}, {store}) => callStore(store, {
		kind: 'remove', key: parameters['key'] ?? '', expectedVersion: Number(query.get('expectedVersion')),
	}),
});
