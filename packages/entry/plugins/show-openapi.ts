import {describeRoutes} from '#transport';
import {entryPlugins} from '../plugins.js';

entryPlugins.register({
	kind: 'http-route',
	name: 'show-openapi',
	summary: 'This description',
	method: 'GET',
	path: '/v1/openapi.json',
	handle: async () => ({kind: 'json', status: 200, body: describeRoutes('dotterelnotch', entryPlugins.httpRoutes())}),
});
