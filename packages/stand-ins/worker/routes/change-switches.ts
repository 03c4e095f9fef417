import {callWorker} from '../call.js';
import {workerPlugins} from '../plugins.js';
import {switchesSchema, type SwitchChanges} from '../types.js';

workerPlugins.register({
	kind: 'http-route',
	name: 'change-switches',
	method: 'POST',
	path: '/switches',
	bodySchema: switchesSchema,
	handle: async ({body}, {worker}) => callWorker(worker, respond => ({kind: 'switch', changes: body as SwitchChanges, respond})),
});
