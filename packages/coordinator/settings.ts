import * as valibot from 'valibot';
import {entryIdSchema, zoneNameSchema} from '#core';
import {
	addressListSettingSchema, addressSettingSchema, logLevels, portRangeSettingSchema, portSettingSchema, positiveNumberSettingSchema, decimalSettingSchema, type SettingDefinitions,
	type SettingsOf,
} from '#kernel';
import {entryListenerSettings} from '#transport';

export const coordinatorSettings = {
	entry: {schema: entryIdSchema, description: 'Name of this entry'},
	zone: {schema: zoneNameSchema, description: 'Availability zone of this entry'},
	'listen-host': {schema: valibot.string(), description: 'Address to listen on; agents and other entries connect to it'},
	'peer-ports': {schema: portRangeSettingSchema, description: 'First and last port for connections between processes'},
	'front-address': {schema: addressSettingSchema, description: 'host:port for callers'},
	'readiness-address': {schema: addressSettingSchema, description: 'host:port for the readiness checks of the load balancer'},
	'store-address': {schema: addressSettingSchema, description: 'host:port of the platform\'s key-value service'},
	seeds: {schema: addressListSettingSchema, description: 'Addresses of entries to connect to before the store has listed any, also while it is down; only the hosts are used', default: ''},
	'metrics-port': {schema: portSettingSchema, description: 'Operations port, which serves metrics and health checks', default: '7015'},
	'grace-seconds': {schema: decimalSettingSchema(0.5, 600), description: 'Seconds between SIGTERM and SIGKILL', default: '6'},
	'processor-share': {schema: positiveNumberSettingSchema, description: 'Share of a core that this process may use; entries with more of it are preferred as the scheduler', default: '1'},
	'processor-speed': {schema: positiveNumberSettingSchema, description: 'Speed of that core as a multiple of a usual one', default: '1'},
	...entryListenerSettings,
	'keep-apart': {
		schema: valibot.picklist(['on', 'off'], 'must be on or off'),
		description: 'Whether the scheduler keeps tasks that slow each other down on different workers where there is capacity',
		default: 'on',
	},
	'refuse-by-forecast': {schema: valibot.picklist(['on', 'off'], 'must be on or off'), description: 'Whether jobs are refused that would certainly end too late', default: 'on'},
	'log-level': {schema: valibot.picklist(logLevels, 'must be debug, info, warn or error'), description: 'Least severe level that is logged', default: 'info'},
} as const satisfies SettingDefinitions;

export type CoordinatorSettings = SettingsOf<typeof coordinatorSettings>;
