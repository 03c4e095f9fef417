import {callWorker} from '../call.js';
import {workerPlugins} from '../plugins.js';
import {renewTasksSchema, type RenewTasks} from '../types.js';

workerPlugins.register({
	kind: 'http-route',
	name: 'renew-tasks',
	method: 'POST',
	path: '/renewals',
	bodySchema: renewTasksSchema,
	handle: async ({body}, {worker}) => callWorker(worker, respond => ({kind: 'renew', renewal: body as RenewTasks, respond})),
});
