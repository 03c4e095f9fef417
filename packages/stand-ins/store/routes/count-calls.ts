import {storePlugins} from '../plugins.js';
import {askStore} from '../call.js';

storePlugins.register({
	kind: 'http-route',
	name: 'count-calls',
	method: 'GET',
	path: '/calls',
	handle: async (_request, {store}) => askStore(store, respond => ({kind: 'count-calls', respond})),
});
