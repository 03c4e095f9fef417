import type {SchedulerReference} from '#protocol';
import {replacePort} from '#transport';
import {peerAddressOf} from './peer-address.js';
import {directoryService, findLeader, listEntries} from './plugins/directory.js';
import {holdsLeadership, leadershipService} from './plugins/leadership.js';
import type {CoordinatorContext} from './types.js';

/** Peer addresses of this entry and of the registered entries, or of the seeds while none is registered. */
export function listEntryAddresses({services, settings}: CoordinatorContext): readonly string[] {
	const registered = listEntries(services.use(directoryService).read()).map(({address}) => address);
	return registered.length > 0 ? [...new Set([peerAddressOf(settings), ...registered])] : [...new Set([peerAddressOf(settings), ...replacePort(settings.seeds, settings['peer-ports'][0] ?? 0)])];
}

/** Address and epoch of the scheduler: this entry, or the leader last observed in the store. */
export function findScheduler(context: CoordinatorContext): SchedulerReference | undefined {
	const {services, settings} = context;
	const {term} = services.use(leadershipService).read();
	if (term !== undefined && holdsLeadership(context)) {
		return {address: peerAddressOf(settings), epoch: term.epoch};
	}

	const leader = findLeader(services.use(directoryService).read())?.value;
	return leader === undefined || leader.entry === settings.entry ? undefined : {address: leader.address, epoch: leader.epoch};
}
