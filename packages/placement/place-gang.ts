import type {JobId} from '#core';
import {
	fillBlocks, listBlocks, type Admission, type ClassifiedWorker,
} from './blocks.js';
import {chooseEvictions} from './choose-evictions.js';
import {classifyAccelerators} from './classify.js';
import {compareText} from './ground.js';
import {explainImpossible} from './impossible.js';
import type {GangRequest, Placement, ZoneView} from './types.js';

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
	const workers = classifyWorkers(view, gang);
	const ownsCells = workers.some(({uses}) => uses.some(({kind}) => kind === 'own' || kind === 'reclaimable'));
	for (const admission of listAdmissions(gang).filter(({free}) => free || ownsCells)) {
		const members = fillBlocks(listBlocks(workers, admission, gang.shape.acceleratorsPerMember), gang.shape);
		if (members !== undefined) {
			return {kind: 'placed', members, evictions: []};
		}
	}

	const reclaimed = chooseEvictions(workers, gang);
	if (reclaimed !== undefined) {
		return {kind: 'placed', ...reclaimed};
	}

	const detail = explainImpossible(view, gang);
	return detail === undefined
		? {kind: 'waiting', reason: 'accelerators-busy'}
		: {kind: 'impossible', reason: 'impossible-shape', detail};
}

/** Classifies the accelerators of every worker, in the order of worker names. */
export function classifyWorkers(view: ZoneView, gang: Pick<GangRequest, 'plan'>): readonly ClassifiedWorker[] {
	return view.workers
		.toSorted((first, second) => compareText(first.worker, second.worker))
		.map(worker => ({view: worker, uses: classifyAccelerators(worker, gang)}));
}

/** Tries without evictions, in order. */
export function listAdmissions({preemptible}: Pick<GangRequest, 'preemptible'>): readonly Admission[] {
	const ownOnly: Admission = {free: false, borrowable: false, evicted: nobody};
	return preemptible
		? [ownOnly, {...ownOnly, free: true}, {...ownOnly, free: true, borrowable: true}]
		: [ownOnly, {...ownOnly, free: true}];
}

