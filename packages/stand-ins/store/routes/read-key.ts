import {storePlugins} from '../plugins.js';
import {callStore} from '../call.js';

storePlugins.register({
	kind: 'http-route',
	name: 'read-key',
	method: 'GET',
	path: '/keys/:key',
	handle: async ({parameters}, {store}) => callStore(store, {kind: 'read', key: parameters['key'] ?? ''}),
});
