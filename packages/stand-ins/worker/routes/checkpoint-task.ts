import {callWorker} from '../call.js';
import {workerPlugins} from '../plugins.js';

workerPlugins.register({
	kind: 'http-route',
	name: 'checkpoint-task',
	method: 'POST',
	path: '/tasks/:taskId/checkpoint',
	handle: async ({parameters}, {worker}) => callWorker(worker, respond => ({kind: 'checkpoint', taskId: parameters['taskId'] ?? '', respond})),
});
