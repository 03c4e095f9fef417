import {createProgramLog, portSettingSchema, runDaemon} from '#kernel';
import {serveWorker} from '#stand-ins';

runDaemon(
	'stand-in-worker',
	'Stand-in for tests and the demo',
	{'listen-port': {schema: portSettingSchema, description: 'Port to listen on'}},
	async settings => {
		const listener = await serveWorker('127.0.0.1', settings['listen-port'], createProgramLog('stand-in-worker', 'warn'));
		return {ports: {http: listener.port}, stop: async () => listener.drain()};
	},
);
