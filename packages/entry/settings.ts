import * as valibot from 'valibot';
import {defaultAbsenceDelayMilliseconds} from '#placement';
import {entryIdSchema, regionNameSchema, zoneNameSchema} from '#core';
import {
	addressListSettingSchema, logLevels, portSettingSchema, wholeNumberSettingSchema, type SettingDefinitions, type SettingsOf,
} from '#kernel';
import {entryListenerSettings} from '#transport';

const optionalAddressSettingSchema = valibot.pipe(valibot.string(), valibot.regex(/^(?:[^\s:]+:\d+)?$/, 'must be host:port'));

export const entrySettings = {
	entry: {schema: entryIdSchema, description: 'Name of this entry'},
	region: {schema: regionNameSchema, description: 'Region of this entry'},
	zone: {schema: zoneNameSchema, description: 'Availability zone of this entry'},
	'store-origin': {schema: valibot.pipe(valibot.string(), valibot.url('must be a URL')), description: 'URL of the platform\'s key-value service'},
	'listen-host': {schema: valibot.string(), description: 'Address to listen on', default: '127.0.0.1'},
	'listen-port': {schema: portSettingSchema, description: 'Port for callers', default: '8080'},
	'peer-port': {schema: portSettingSchema, description: 'Port for agents and other entries', default: '8081'},
	'layout-absence-milliseconds': {
		schema: wholeNumberSettingSchema(0, 86_400_000),
		description: 'Delay before the guaranteed cells of an absent worker are reassigned',
		default: String(defaultAbsenceDelayMilliseconds),
	},
	'advertised-peer-address': {
		schema: optionalAddressSettingSchema, description: 'host:port at which agents and other entries reach this entry; the listening address if empty', default: '',
	},
	'advertised-caller-address': {
		schema: optionalAddressSettingSchema, description: 'host:port at which operators reach this entry; the listening address if empty', default: '',
	},
	peers: {schema: addressListSettingSchema, description: 'Peer addresses of entries to connect to, as host:port,host:port; also used while the store is unavailable', default: ''},
	'maximum-in-flight': {schema: wholeNumberSettingSchema(1, 100_000), description: 'Maximum number of requests in flight in this entry', default: '4000'},
	'maximum-in-flight-per-plan': {schema: wholeNumberSettingSchema(1, 100_000), description: 'Maximum number of requests of one plan in flight in this entry', default: '1000'},
	'forward-bytes-per-second': {
		schema: wholeNumberSettingSchema(0, 1_000_000_000),
		description: 'Limit on forwarding requests to other regions, in bytes per second; answers count towards it',
		default: '250000',
	},
	'notice-milliseconds': {
		schema: wholeNumberSettingSchema(0, 600_000),
		description: 'Delay between reporting not ready and closing the listener, so that load balancers stop sending requests',
		default: '5000',
	},
	seed: {schema: wholeNumberSettingSchema(0, 4_294_967_295), description: 'Seed of the random number generator', default: '1'},
	...entryListenerSettings,
	'log-level': {schema: valibot.picklist(logLevels, 'must be debug, info, warn or error'), description: 'Least severe level that is logged', default: 'info'},
} as const satisfies SettingDefinitions;

export type EntrySettings = SettingsOf<typeof entrySettings>;
