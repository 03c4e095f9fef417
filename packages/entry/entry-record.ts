import type {EntryRecord} from '#protocol';
import type {EntrySettings} from './settings.js';
import type {ListeningPorts} from './types.js';

/** How this entry makes itself known. */
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
