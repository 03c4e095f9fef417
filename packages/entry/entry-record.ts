import type {EntryRecord} from '#protocol';
import type {EntrySettings} from './settings.js';
import type {ListeningPorts} from './types.js';

/** Creates the record that this entry registers in the store and sends to other entries. */
export function createOwnRecord(settings: EntrySettings, ports: ListeningPorts): EntryRecord {
	const {entry, region, zone} = settings;
	const host = settings['listen-host'];
	return {
		entry,
		region,
		zone,
		peerAddress: settings['advertised-peer-address'] || `${host}:${ports.peers}`,
		callerAddress: settings['advertised-caller-address'] || `${host}:${ports.callers}`,
	};
}
