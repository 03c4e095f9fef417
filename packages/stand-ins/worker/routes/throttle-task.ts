import {callWorker} from '../call.js';
import {workerPlugins} from '../plugins.js';
import {throttleTaskSchema} from '../types.js';

workerPlugins.register({
	kind: 'http-route',
	name: 'throttle-task',
	method: 'POST',
	path: '/tasks/:taskId/throttle',
	bodySchema: throttleTaskSchema,
	handle: async ({parameters, body}, {worker}) => callWorker(worker, respond => ({
		kind: 'throttle', taskId: parameters['taskId'] ?? '', share: (body as Readonly<{share: number}>).share, respond,
	})),
});
