import * as valibot from 'valibot';
import {entryIdSchema, regionNameSchema, zoneNameSchema} from '#core';
import {
	logLevels, portSettingSchema, wholeNumberSettingSchema, type SettingDefinitions, type SettingsOf,
} from '#kernel';

export const entrySettings = {
	entry: {schema: entryIdSchema, description: 'Name of this entry'},
	region: {schema: regionNameSchema, description: 'Region of this entry'},
	zone: {schema: zoneNameSchema, description: 'Availability zone of this entry'},
	'store-origin': {schema: valibot.pipe(valibot.string(), valibot.url('must be a URL')), description: 'URL of the platform\'s key-value service'},
	'listen-host': {schema: valibot.string(), description: 'Address to listen on', default: '127.0.0.1'},
	'listen-port': {schema: portSettingSchema, description: 'Port for callers', default: '8080'},
	'peer-port': {schema: portSettingSchema, description: 'Port for agents and other entries', default: '8081'},
	'maximum-in-flight': {schema: wholeNumberSettingSchema(1, 100_000), description: 'Requests in flight at once in this entry', default: '4000'},
	'maximum-in-flight-per-plan': {schema: wholeNumberSettingSchema(1, 100_000), description: 'Requests of one plan in flight at once in this entry', default: '1000'},
	'forward-bytes-per-second': {schema: wholeNumberSettingSchema(0, 1_000_000_000), description: 'Bytes a second that forwarded requests may take of the link between regions', default: '250000'},
	'notice-milliseconds': {schema: wholeNumberSettingSchema(0, 600_000), description: 'Time between reporting not ready and closing the listener, for the balancer to notice', default: '5000'},
	seed: {schema: wholeNumberSettingSchema(0, 4_294_967_295), description: 'Seed of the random generator', default: '1'},
	'log-level': {schema: valibot.picklist(logLevels, 'must be debug, info, warn or error'), description: 'Least severe level that is logged', default: 'info'},
} as const satisfies SettingDefinitions;

export type EntrySettings = SettingsOf<typeof entrySettings>;
