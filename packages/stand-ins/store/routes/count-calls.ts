import {storePlugins} from '../plugins.js';
import {sendToStore} from '../call.js';

storePlugins.register({
	kind: 'http-route',
	name: 'count-calls',
	method: 'GET',
	path: '/calls',
	handle: async (_request, {store}) => sendToStore(store, respond => ({kind: 'count-calls', respond})),
});
