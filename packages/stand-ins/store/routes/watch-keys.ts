import {storePlugins} from '../plugins.js';
import {callStore} from '../call.js';

storePlugins.register({
	kind: 'http-route',
	name: 'watch-keys',
	method: 'GET',
	path: '/watch',
	handle: async ({query, signal}, {store}) => callStore(store, {
		kind: 'watch', prefix: query.get('prefix') ?? '', after: Number(query.get('after')), wait: Number(query.get('wait')), signal,
	}),
});
