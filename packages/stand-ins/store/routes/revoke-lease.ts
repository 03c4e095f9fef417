import {storePlugins} from '../plugins.js';
import {callStore} from '../call.js';

storePlugins.register({
	kind: 'http-route',
	name: 'revoke-lease',
	method: 'DELETE',
	path: '/leases/:lease',
	handle: async ({parameters}, {store}) => callStore(store, {kind: 'revoke-lease', lease: parameters['lease'] ?? ''}),
});
