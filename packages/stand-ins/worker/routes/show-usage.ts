import {callWorker} from '../call.js';
import {workerPlugins} from '../plugins.js';

workerPlugins.register({
	kind: 'http-route',
	name: 'show-usage',
	method: 'GET',
	path: '/usage',
	handle: async (_request, {worker}) => callWorker(worker, respond => ({kind: 'show-usage', respond})),
});
