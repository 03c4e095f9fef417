import {callWorker} from '../call.js';
import {workerPlugins} from '../plugins.js';

workerPlugins.register({
	kind: 'http-route',
	name: 'describe-worker',
	method: 'GET',
	path: '/worker',
	handle: async (_request, {worker}) => callWorker(worker, respond => ({kind: 'describe', respond})),
});
