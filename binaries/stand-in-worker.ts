import * as valibot from 'valibot';
import {
	createProgramLog, portSettingSchema, runDaemon, wholeNumberSettingSchema,
} from '#kernel';
import {defaultWorkerSettings, serveWorker} from '#stand-ins';

runDaemon(
	'stand-in-worker',
	'Stand-in for tests and the demo',
	{
		'listen-port': {schema: portSettingSchema, description: 'Port to listen on'},
		rack: {schema: valibot.string(), description: 'Rack of the worker', default: defaultWorkerSettings.rack},
		processors: {schema: wholeNumberSettingSchema(1, 4096), description: 'Processors of the worker', default: String(defaultWorkerSettings.processors)},
		'memory-megabytes': {schema: wholeNumberSettingSchema(1, 100_000_000), description: 'Memory of the worker', default: String(defaultWorkerSettings.memoryMegabytes)},
		accelerators: {schema: wholeNumberSettingSchema(0, 64), description: 'Accelerators of the worker', default: String(defaultWorkerSettings.accelerators)},
		'usage-lag-milliseconds': {schema: wholeNumberSettingSchema(0, 600_000), description: 'Age of reported usage', default: String(defaultWorkerSettings.usageLagMilliseconds)},
	},
	async settings => {
		const listener = await serveWorker('127.0.0.1', settings['listen-port'], createProgramLog('stand-in-worker', 'warn'), {
			rack: settings.rack,
			processors: settings.processors,
			memoryMegabytes: settings['memory-megabytes'],
			accelerators: settings.accelerators,
			usageLagMilliseconds: settings['usage-lag-milliseconds'],
		});
		return {ports: {http: listener.port}, stop: async () => listener.drain()};
	},
);
