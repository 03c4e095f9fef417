import type {JobId} from '#core';
import {fillBlocks, listBlocks, type ClassifiedZone} from './blocks.js';
import {maximumEvictionChecks} from './constants.js';
import {compareScores, compareText} from './occupancy.js';
import type {GangRequest, MemberPlacement} from './types.js';

/** A job that borrows accelerators of the gang's plan. */
type Borrower = Readonly<{job: JobId; accelerators: number; submittedAt: number}>;

export type Reclaim = Readonly<{members: readonly MemberPlacement[]; evictions: readonly JobId[]}>;

/** Places a gang on its own cells under borrowers. Evicts small and young jobs before large and old ones, and none that is not needed. */
export function chooseEvictions(zone: ClassifiedZone, gang: GangRequest): Reclaim | undefined {
	const borrowers = listBorrowers(zone);
	let reclaim = findShortestPrefix(zone, gang, borrowers);
	if (reclaim === undefined) {
		return undefined;
	}

	for (const {job} of borrowers.toReversed().slice(0, maximumEvictionChecks)) {
		if (reclaim.evictions.includes(job)) {
			reclaim = tryEvictions(zone, gang, reclaim.evictions.filter(other => other !== job)) ?? reclaim;
		}
	}

	return reclaim;
}

/** Halves the range of prefixes, since evicting more jobs never leaves less room. */
function findShortestPrefix(zone: ClassifiedZone, gang: GangRequest, borrowers: readonly Borrower[]): Reclaim | undefined {
	const tryPrefix = (length: number) => tryEvictions(zone, gang, borrowers.slice(0, length).map(({job}) => job));
	let best = borrowers.length === 0 ? undefined : tryPrefix(borrowers.length);
	let tooShort = 0;
	let enough = borrowers.length;
	while (best !== undefined && enough - tooShort > 1) {
		const middle = Math.floor((tooShort + enough) / 2);
		const reclaim = tryPrefix(middle);
		if (reclaim === undefined) {
			tooShort = middle;
		} else {
			enough = middle;
			best = reclaim;
		}
	}

	return best;
}

/** Places the gang as if the jobs were gone; the evictions are those of them that the placement touches. */
function tryEvictions(zone: ClassifiedZone, gang: GangRequest, jobs: readonly JobId[]): Reclaim | undefined {
	const admission = {
		free: true, borrowable: gang.preemptible, evicted: new Set(jobs), isWithinCell: zone.takesWholeCell,
	};
	const members = fillBlocks(listBlocks(zone.workers, admission, gang.shape.acceleratorsPerMember), gang.shape, admission);
	if (members === undefined) {
		return undefined;
	}

	const byWorker = new Map(zone.workers.map(({view, uses}) => [view.worker, uses]));
	const touched = new Set(members.flatMap(({worker, accelerators}) => accelerators.flatMap(index => {
		const use = byWorker.get(worker)?.[index];
		return use?.kind === 'reclaimable' ? [use.job] : [];
	})));
	return {members, evictions: [...touched].toSorted(compareText)};
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
