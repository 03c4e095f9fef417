import {createProgramLog, portSettingSchema, runDaemon} from '#kernel';
import {serveStore} from '#stand-ins';

runDaemon(
	'stand-in-store',
	'Stand-in for tests and the demo',
	{'listen-port': {schema: portSettingSchema, description: 'Port to listen on'}},
	async settings => {
		const listener = await serveStore('127.0.0.1', settings['listen-port'], createProgramLog('stand-in-store', 'warn'));
		return {ports: {http: listener.port}, stop: async () => listener.drain()};
	},
);
