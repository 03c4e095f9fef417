import type {
	GangRequest, MemberPlacement, Placement, WorkerView, ZoneView,
} from './types.js';

/** Places every member of a gang on free accelerators, or none. */
export function placeGang(view: ZoneView, gang: GangRequest): Placement {
	const {members, acceleratorsPerMember} = gang.shape;
	const placements: MemberPlacement[] = [];
	for (const worker of view.workers) {
		let free = listFree(worker, gang);
		while (free.length >= acceleratorsPerMember && placements.length < members) {
			placements.push({member: placements.length, worker: worker.worker, accelerators: free.slice(0, acceleratorsPerMember)});
			free = free.slice(acceleratorsPerMember);
		}
	}

	return placements.length === members
		? {kind: 'placed', members: placements, evictions: []}
		: {kind: 'waiting', reason: 'accelerators-busy'};
}

function listFree(worker: WorkerView, gang: GangRequest): readonly number[] {
	const taken = new Set([
		...worker.holdings.flatMap(holding => holding.accelerators),
		...worker.cells.filter(cell => cell.plan !== gang.plan && !gang.preemptible).flatMap(cell => cell.accelerators),
	]);
	return Array.from({length: worker.accelerators}, (_, index) => index).filter(index => !taken.has(index));
}
