import type {JobId} from '#core';
import {
	fillBlocks, listBlocks, type PlacementConstraints, type ClassifiedZone,
} from './blocks.js';
import {chooseEvictions} from './choose-evictions.js';
import {
	classifyAccelerators, createOwnership, isOwned, type AcceleratorUse, type GangRequirements,
} from './classify-accelerators.js';
import {compareText} from './occupancy.js';
import {explainImpossibleShape} from './impossible-shape.js';
import type {
	GangRequest, Placement, WorkerView, ZoneView,
} from './types.js';

const nobody: ReadonlySet<JobId> = new Set();

/**
Places every member of a gang, or none.

Takes accelerators of the plan's own cells first, then those that nobody is guaranteed, and for a preemptible gang those of other plans' cells. If that is not enough and borrowers hold own cells, the placement names the jobs that have to be evicted first. Depends on nothing but its arguments, and not on the order of the workers.

@example
```
placeGang(view, {job, plan, shape: {members: 2, acceleratorsPerMember: 4, adjacency: 'rack'}, preemptible: false, submittedAt});
//=> {kind: 'placed', members: [{member: 0, worker: 'w1', accelerators: [0, 1, 2, 3]}, …], evictions: []}
```
*/
export function placeGang(view: ZoneView, gang: GangRequest): Placement {
	const detail = explainImpossibleShape(view, gang);
	if (detail !== undefined) {
		return {kind: 'impossible', reason: 'impossible-shape', detail};
	}

	const zone = classifyZone(view, gang);
	const owners = zone.workers.filter(({uses}) => uses.some(isOwned));
	for (const admission of listPlacementConstraints(zone, gang)) {
		const members = fillBlocks(listBlocks(admission.free ? zone.workers : owners, admission, gang.shape.acceleratorsPerMember), gang.shape, admission);
		if (members !== undefined) {
			return {kind: 'placed', members, evictions: []};
		}
	}

	const reclaimed = chooseEvictions(zone, gang);
	if (reclaimed !== undefined) {
		return {kind: 'placed', ...reclaimed};
	}

	return {kind: 'waiting', reason: 'accelerators-busy'};
}

/** Classifies the accelerators of every worker, in the order of worker names. */
export function classifyZone(view: ZoneView, gang: GangRequirements): ClassifiedZone {
	const ownership = createOwnership(view.workers, gang);
	const idle = new Map<number, readonly AcceleratorUse[]>();
	const classify = (worker: WorkerView): readonly AcceleratorUse[] => {
		// Most workers of a large zone have neither cells nor holdings and share one list.
		const isIdle = worker.cells.length === 0 && worker.holdings.length === 0;
		const uses = (isIdle ? idle.get(worker.accelerators) : undefined) ?? classifyAccelerators(worker, gang, ownership);
		if (isIdle) {
			idle.set(worker.accelerators, uses);
		}

		return uses;
	};

	const workers = view.workers
		.toSorted((first, second) => compareText(first.worker, second.worker))
		.map(worker => ({view: worker, uses: classify(worker)}));
	return {workers, takesWholeCell: ownership.takesWholeCell};
}

/** Tries without evictions, in order: one own cell, several own cells, beside them what is free, and what may be borrowed. */
export function listPlacementConstraints({takesWholeCell}: Pick<ClassifiedZone, 'takesWholeCell'>, {preemptible}: Pick<GangRequest, 'preemptible'>): readonly PlacementConstraints[] {
	const oneCell: PlacementConstraints = {
		free: false, borrowable: false, evicted: nobody, isWithinCell: true,
	};
	const ownCells: PlacementConstraints = {...oneCell, isWithinCell: takesWholeCell};
	const beside: PlacementConstraints = {...ownCells, free: true};
	return [oneCell, ownCells, beside, ...(preemptible ? [{...beside, borrowable: true}] : [])];
}
