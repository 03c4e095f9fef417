import * as valibot from 'valibot';
import {
	rackNameSchema, regionNameSchema, workerIdSchema, zoneNameSchema,
} from '#core';
import {
	addressListSettingSchema, logLevels, portSettingSchema, wholeNumberSettingSchema, type SettingDefinitions, type SettingsOf,
} from '#kernel';

export const agentSettings = {
	worker: {schema: workerIdSchema, description: 'Name of the worker beside this agent'},
	region: {schema: regionNameSchema, description: 'Region of the worker'},
	zone: {schema: zoneNameSchema, description: 'Availability zone of the worker'},
	rack: {schema: rackNameSchema, description: 'Rack of the worker'},
	'worker-origin': {schema: valibot.pipe(valibot.string(), valibot.url('must be a URL')), description: 'URL of the worker\'s task interface'},
	entries: {schema: addressListSettingSchema, description: 'Peer addresses of entries of the zone, as host:port,host:port'},
	slots: {schema: wholeNumberSettingSchema(1, 1024), description: 'Requests that the worker serves at once', default: '8'},
	connections: {schema: wholeNumberSettingSchema(1, 10_000), description: 'Connections that the worker accepts', default: '60'},
	processors: {schema: wholeNumberSettingSchema(1, 4096), description: 'Processors of the worker', default: '130'},
	'memory-megabytes': {schema: wholeNumberSettingSchema(1, 100_000_000), description: 'Memory of the worker', default: '256000'},
	accelerators: {schema: wholeNumberSettingSchema(0, 64), description: 'Accelerators of the worker', default: '8'},
	'listen-host': {schema: valibot.string(), description: 'Listen address of the operations port', default: '127.0.0.1'},
	'listen-port': {schema: portSettingSchema, description: 'Operations port; 0 disables it', default: '0'},
	'drain-milliseconds': {schema: wholeNumberSettingSchema(0, 86_400_000), description: 'Maximum time that a stop waits for running work', default: '120000'},
	'log-level': {schema: valibot.picklist(logLevels, 'must be debug, info, warn or error'), description: 'Least severe level that is logged', default: 'info'},
} as const satisfies SettingDefinitions;

export type AgentSettings = SettingsOf<typeof agentSettings>;

