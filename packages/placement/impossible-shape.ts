import {assertNever} from '#core';
import {groupBy} from './occupancy.js';
import type {GangRequest, WorkerView, ZoneView} from './types.js';

/** Explains why a gang can never fit into the zone; undefined if it could, or if that is not known yet. */
export function explainImpossibleShape(view: ZoneView, {shape, plan, preemptible}: GangRequest): string | undefined {
	if (view.isComplete === false || view.workers.length === 0) {
		return undefined;
	}

	const workers = [...view.workers, ...(view.absent ?? [])];
	const {members, acceleratorsPerMember, adjacency} = shape;
	const capacity = countMembers(workers, acceleratorsPerMember, adjacency);
	if (capacity < members) {
		return `one ${adjacency} holds at most ${capacity} members of ${acceleratorsPerMember} adjacent accelerators, and ${members} are needed`;
	}

	const total = workers.reduce((sum, {accelerators}) => sum + accelerators, 0);
	const guaranteed = workers.flatMap(({cells}) => cells).filter(cell => cell.plan !== plan).reduce((sum, {accelerators}) => sum + accelerators.length, 0);
	const needed = members * acceleratorsPerMember;
	return !preemptible && total - guaranteed < needed
		? `${needed} accelerators are needed, and ${guaranteed} of ${total} are guaranteed to other plans; only preemptible jobs may borrow them`
		: undefined;
}

/** Counts the members that fit into the largest worker, the largest rack or the whole zone when nothing else runs. */
function countMembers(workers: readonly WorkerView[], acceleratorsPerMember: number, adjacency: GangRequest['shape']['adjacency']): number {
	const countInside = (group: readonly WorkerView[]) => group.reduce((sum, {accelerators}) => sum + Math.floor(accelerators / acceleratorsPerMember), 0);
	switch (adjacency) {
		case 'worker': {
			return workers.reduce((most, worker) => Math.max(most, countInside([worker])), 0);
		}

		case 'rack': {
			return [...groupBy(workers, ({rack}) => rack).values()].reduce((most, group) => Math.max(most, countInside(group)), 0);
		}

		case 'zone': {
			return countInside(workers);
		}

		default: {
			return assertNever(adjacency);
		}
	}
}
