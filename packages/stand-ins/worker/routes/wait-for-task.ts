import {callWorker} from '../call.js';
import {workerPlugins} from '../plugins.js';

workerPlugins.register({
	kind: 'http-route',
	name: 'wait-for-task',
	method: 'GET',
	path: '/tasks/:taskId',
	handle: async ({parameters}, {worker}) => callWorker(worker, respond => ({kind: 'wait', taskId: parameters['taskId'] ?? '', respond})),
});
