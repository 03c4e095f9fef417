import {createServiceKey} from '#kernel';
import {agentPlugins} from '../plugins.js';
import {createWorkerClient} from '../worker-client.js';
import type {WorkerClient} from '../worker-types.js';

/** Client for this agent's worker. */
export const workerClientService = createServiceKey<WorkerClient>('worker-client');

agentPlugins.register({
	kind: 'task',
	name: 'worker-client',
	start({settings, clock, services}) {
		const client = createWorkerClient(settings['worker-origin'], settings.connections, clock);
		services.provide(workerClientService, client);
		return () => {
			client.close();
		};
	},
});
