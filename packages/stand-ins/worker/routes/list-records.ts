import {callWorker} from '../call.js';
import {workerPlugins} from '../plugins.js';

workerPlugins.register({
	kind: 'http-route',
	name: 'list-records',
	method: 'GET',
	path: '/records',
	handle: async (_request, {worker}) => callWorker(worker, respond => ({kind: 'list-records', respond})),
});
