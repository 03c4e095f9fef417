import {callWorker} from '../call.js';
import {workerPlugins} from '../plugins.js';
import {startTaskSchema, type StartTask} from '../types.js';

workerPlugins.register({
	kind: 'http-route',
	name: 'start-task',
	method: 'POST',
	path: '/tasks',
	bodySchema: startTaskSchema,
	handle: async ({body}, {worker}) => callWorker(worker, respond => ({kind: 'start', task: body as StartTask, respond})),
});
