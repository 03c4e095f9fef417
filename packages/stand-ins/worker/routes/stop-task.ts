import {callWorker} from '../call.js';
import {workerPlugins} from '../plugins.js';

workerPlugins.register({
	kind: 'http-route',
	name: 'stop-task',
	method: 'POST',
	path: '/tasks/:taskId/stop',
	handle: async ({parameters}, {worker}) => callWorker(worker, respond => ({kind: 'stop', taskId: parameters['taskId'] ?? '', respond})),
});
