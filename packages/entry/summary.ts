import type {MembershipState} from '#membership';
import type {ZoneSummary} from '#protocol';

/** Sums the free capacity and the queued requests of the zone's agents. */
export function summarizeZone({agents}: MembershipState): Pick<ZoneSummary, 'workers' | 'freeSlots' | 'queued' | 'freeAccelerators'> {
	const active = [...agents.values()].filter(({isLeaving}) => !isLeaving);
	const sum = (count: (agent: typeof active[number]) => number) => active.reduce((total, agent) => total + count(agent), 0);
	return {
		workers: active.length,
		freeSlots: sum(({capacity, load}) => Math.max(0, capacity.slots - load.shortRunning - load.longRunning)),
		queued: sum(({load}) => load.shortQueued + load.longQueued),
		freeAccelerators: sum(({capacity, holdings}) => Math.max(0, capacity.accelerators - holdings.reduce((held, {accelerators}) => held + accelerators.length, 0))),
	};
}
