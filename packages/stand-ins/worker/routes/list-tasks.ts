import {callWorker} from '../call.js';
import {workerPlugins} from '../plugins.js';

workerPlugins.register({
	kind: 'http-route',
	name: 'list-tasks',
	method: 'GET',
	path: '/tasks',
	handle: async (_request, {worker}) => callWorker(worker, respond => ({kind: 'list', respond})),
});
