import * as valibot from 'valibot';
import {
	addressListSettingSchema, addressSettingSchema, logLevels, portRangeSettingSchema, portSettingSchema, decimalSettingSchema, type SettingDefinitions, type SettingsOf,
} from '#kernel';
import {agentListenerSettings} from '#transport';

export const supervisorSettings = {
	agent: {schema: valibot.pipe(valibot.string(), valibot.minLength(1, 'must not be empty')), description: 'Name of this agent'},
	'listen-host': {schema: valibot.string(), description: 'Listen address of the operations port'},
	'peer-ports': {schema: portRangeSettingSchema, description: 'First and last port for connections between processes'},
	'announcement-address': {schema: addressSettingSchema, description: 'host:port on which this agent receives the announcements of its worker'},
	'worker-address': {schema: addressSettingSchema, description: 'host:port of the worker that this agent supervises'},
	seeds: {schema: addressListSettingSchema, description: 'Addresses of entries to connect to first; only the hosts are used', default: ''},
	'store-address': {schema: addressSettingSchema, description: 'host:port of the platform\'s key-value service, to look up entries while no scheduler is connected'},
	'maximum-hold-milliseconds': {schema: decimalSettingSchema(100, 3_600_000), description: 'Maximum lease duration that the worker grants'},
	'metrics-port': {schema: portSettingSchema, description: 'Operations port, which serves metrics and health checks', default: '7015'},
	...agentListenerSettings,
	'log-level': {schema: valibot.picklist(logLevels, 'must be debug, info, warn or error'), description: 'Least severe level that is logged', default: 'info'},
} as const satisfies SettingDefinitions;

export type SupervisorSettings = SettingsOf<typeof supervisorSettings>;
