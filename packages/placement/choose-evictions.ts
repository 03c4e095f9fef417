import type {JobId} from '#core';
import {fillBlocks, listBlocks, type ClassifiedZone} from './blocks.js';
import {maximumEvictionChecks} from './constants.js';
import {compareScores, compareText} from './occupancy.js';
import type {GangRequest, MemberPlacement} from './types.js';

/** A job that borrows accelerators guaranteed to the gang's plan. */
type Borrower = Readonly<{job: JobId; accelerators: number; submittedAt: number}>;

export type PlacementWithEvictions = Readonly<{members: readonly MemberPlacement[]; evictions: readonly JobId[]}>;

/** Places a gang on its plan's cells by evicting borrowers. Evicts small and young jobs before large and old ones; avoids unnecessary evictions among the largest borrowers. */
export function chooseEvictions(zone: ClassifiedZone, gang: GangRequest): PlacementWithEvictions | undefined {
	const borrowers = listBorrowers(zone);
	let placement = findShortestPrefix(zone, gang, borrowers);
	if (placement === undefined) {
		return undefined;
	}

	for (const {job} of borrowers.toReversed().slice(0, maximumEvictionChecks)) {
		if (placement.evictions.includes(job)) {
			placement = placeWithEvictions(zone, gang, placement.evictions.filter(other => other !== job)) ?? placement;
		}
	}

	return placement;
}

/** Binary search over the prefixes, since evicting more jobs never leaves less room. */
function findShortestPrefix(zone: ClassifiedZone, gang: GangRequest, borrowers: readonly Borrower[]): PlacementWithEvictions | undefined {
	const placeWithPrefix = (length: number) => placeWithEvictions(zone, gang, borrowers.slice(0, length).map(({job}) => job));
	let best = borrowers.length === 0 ? undefined : placeWithPrefix(borrowers.length);
	let insufficient = 0;
	let sufficient = borrowers.length;
	while (best !== undefined && sufficient - insufficient > 1) {
		const middle = Math.floor((insufficient + sufficient) / 2);
		const placement = placeWithPrefix(middle);
		if (placement === undefined) {
			insufficient = middle;
		} else {
			sufficient = middle;
			best = placement;
		}
	}

	return best;
}

/** Places the gang as if the jobs had ended. The evictions are those of the jobs whose accelerators the placement uses. */
function placeWithEvictions(zone: ClassifiedZone, gang: GangRequest, jobs: readonly JobId[]): PlacementWithEvictions | undefined {
	const constraints = {
		free: true, borrowable: gang.preemptible, evicted: new Set(jobs), isWithinCell: zone.usesWholeCell,
	};
	const members = fillBlocks(listBlocks(zone.workers, constraints, gang.shape.acceleratorsPerMember), gang.shape, constraints);
	if (members === undefined) {
		return undefined;
	}

	const byWorker = new Map(zone.workers.map(({view, uses}) => [view.worker, uses]));
	const evictedJobs = new Set(members.flatMap(({worker, accelerators}) => accelerators.flatMap(index => {
		const use = byWorker.get(worker)?.[index];
		return use?.kind === 'reclaimable' ? [use.job] : [];
	})));
	return {members, evictions: [...evictedJobs].toSorted(compareText)};
}

function listBorrowers({workers}: ClassifiedZone): readonly Borrower[] {
	const reclaimable = new Set<JobId>();
	for (const {uses} of workers) {
		for (const use of uses) {
			if (use.kind === 'reclaimable') {
				reclaimable.add(use.job);
			}
		}
	}

	const borrowers = new Map<JobId, Borrower>();
	for (const {view} of reclaimable.size === 0 ? [] : workers) {
		for (const {job, accelerators, submittedAt} of view.holdings) {
			if (reclaimable.has(job)) {
				borrowers.set(job, {job, submittedAt, accelerators: accelerators.length + (borrowers.get(job)?.accelerators ?? 0)});
			}
		}
	}

	return [...borrowers.values()].toSorted((first, second) =>
		compareScores([first.accelerators, second.submittedAt], [second.accelerators, first.submittedAt]) || compareText(first.job, second.job));
}
