import {storePlugins} from '../plugins.js';
import {callStore} from '../call.js';

storePlugins.register({
	kind: 'http-route',
	name: 'list-keys',
	method: 'GET',
	path: '/keys',
	handle: async ({query}, {store}) => callStore(store, {kind: 'list', prefix: query.get('prefix') ?? ''}),
});
