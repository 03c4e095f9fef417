import {withPort} from '#transport';
import {peerAddressOf} from './peer-address.js';
import {directoryService, listEntries} from './plugins/directory.js';
import type {CoordinatorContext} from './types.js';

/** Peer addresses of the registered entries, or of the seeds while none is known. */
export function listAddresses({services, settings}: CoordinatorContext): readonly string[] {
	const registered = listEntries(services.use(directoryService).read()).map(({address}) => address);
	return registered.length > 0 ? [...new Set([peerAddressOf(settings), ...registered])] : [...new Set([peerAddressOf(settings), ...withPort(settings.seeds, settings['peer-ports'][0] ?? 0)])];
}
