import {storePlugins} from '../plugins.js';
import {callStore} from '../call.js';

storePlugins.register({
	kind: 'http-route',
	name: 'renew-lease',
	method: 'POST',
	path: '/leases/:lease/renew',
	handle: async ({parameters}, {store}) => callStore(store, {kind: 'renew-lease', lease: parameters['lease'] ?? ''}),
});
