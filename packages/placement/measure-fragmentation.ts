import {countCapacity, listBlocks, listDomains} from './blocks.js';
import {classifyZone, listPlacementConstraints} from './place-gang.js';
import type {GangRequest, ZoneView} from './types.js';

/** The properties of a waiting gang that fragmentation depends on. */
export type WaitingShape = Pick<GangRequest, 'plan' | 'shape' | 'preemptible'>;

/**
Measures the share of free accelerators that no waiting shape can use, from 0 to 1.

A waiting shape can use an accelerator in a block that fits at least one member, in a worker, rack or zone whose blocks fit the whole gang. The share is 0 if nothing waits or nothing is free.
*/
export function measureFragmentation(view: ZoneView, waitingShapes: readonly WaitingShape[]): number {
	const free = view.workers.reduce((sum, worker) => sum + countFreeAccelerators(worker), 0);
	if (free === 0 || waitingShapes.length === 0) {
		return 0;
	}

	const usable = new Set<string>();
	for (const waiting of removeDuplicates(waitingShapes)) {
		const {members, acceleratorsPerMember, adjacency} = waiting.shape;
		const zone = classifyZone(view, waiting);
		const constraints = listPlacementConstraints(zone, waiting).at(-1)!;
		const blocks = listBlocks(zone.workers, constraints, acceleratorsPerMember);
		for (const block of listDomains(blocks, adjacency, constraints).filter(domain => countCapacity(domain) >= members).flat()) {
			for (let index = block.start; index < block.start + block.length; index++) {
				usable.add(`${block.view.worker} ${index}`);
			}
		}
	}

	return (free - usable.size) / free;
}

function countFreeAccelerators({accelerators, holdings}: ZoneView['workers'][number]): number {
	return accelerators - new Set(holdings.flatMap(holding => holding.accelerators)).size;
}

function removeDuplicates(waitingShapes: readonly WaitingShape[]): readonly WaitingShape[] {
	return [...new Map(waitingShapes.map(waiting => [JSON.stringify([waiting.plan, waiting.preemptible, waiting.shape]), waiting])).values()];
}
