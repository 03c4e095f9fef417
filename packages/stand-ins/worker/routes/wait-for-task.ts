import {callWorker} from '../call.js';
import {workerPlugins} from '../plugins.js';

const defaultWaitMilliseconds = 60_000;

workerPlugins.register({
	kind: 'http-route',
	name: 'wait-for-task',
	method: 'GET',
	path: '/tasks/:taskId',
	handle: async ({parameters, query}, {worker}) => callWorker(worker, respond => ({
		kind: 'wait',
		taskId: parameters['taskId'] ?? '',
		milliseconds: Number(query.get('wait') ?? defaultWaitMilliseconds),
		leaseMilliseconds: query.has('lease') ? Number(query.get('lease')) : undefined,
		respond,
	})),
});
