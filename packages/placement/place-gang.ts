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

const noJobs: ReadonlySet<JobId> = new Set();

/**
Places every member of a gang, or none.

Uses accelerators of the plan's own cells first, then those that no plan is guaranteed, and for a preemptible gang those of other plans' cells. If these do not suffice and borrowers hold own cells, the placement lists the jobs that have to be evicted first. The result depends only on the arguments, and not on the order of the workers.

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
	const workersWithOwnCells = zone.workers.filter(({uses}) => uses.some(isOwned));
	for (const constraints of listPlacementConstraints(zone, gang)) {
		const members = fillBlocks(listBlocks(constraints.free ? zone.workers : workersWithOwnCells, constraints, gang.shape.acceleratorsPerMember), gang.shape, constraints);
		if (members !== undefined) {
			return {kind: 'placed', members, evictions: []};
		}
	}

	const withEvictions = chooseEvictions(zone, gang);
	if (withEvictions !== undefined) {
		return {kind: 'placed', ...withEvictions};
	}

	return {kind: 'waiting', reason: 'accelerators-busy'};
}

/** Classifies the accelerators of every worker, ordered by worker name. */
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
	return {workers, usesWholeCell: ownership.usesWholeCell};
}

/** Constraints for placing without evictions, in order of preference: one own cell, several own cells, also free accelerators, also borrowed ones. */
export function listPlacementConstraints({usesWholeCell}: Pick<ClassifiedZone, 'usesWholeCell'>, {preemptible}: Pick<GangRequest, 'preemptible'>): readonly PlacementConstraints[] {
	const oneCell: PlacementConstraints = {
		free: false, borrowable: false, evicted: noJobs, isWithinCell: true,
	};
	const ownCells: PlacementConstraints = {...oneCell, isWithinCell: usesWholeCell};
	const withFree: PlacementConstraints = {...ownCells, free: true};
	return [oneCell, ownCells, withFree, ...(preemptible ? [{...withFree, borrowable: true}] : [])];
}
