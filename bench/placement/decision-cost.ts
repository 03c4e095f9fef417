import {performance} from 'node:perf_hooks';
import type {
	JobId, PlanName, RackName, WorkerId,
} from '#core';
import {
	placeGang, type GangRequest, type WorkerView, type ZoneView,
} from '#placement';

const workerCount = 4300;
const rounds = 60;

export type DecisionCost = Readonly<{
	name: string;
	kind: string;
	/** Median of the rounds. */
	milliseconds: number;
	/** Relative to a plain scan that lists the free accelerators of every worker. */
	ratio: number;
}>;

/** Measures one placement among 4,300 workers with 8,200 accelerators against a plain scan of the same view. */
export function measureDecisionCost(): readonly DecisionCost[] {
	const view = createLargeView();
	const scan = medianTime(() => scanFree(view));
	const gangs: ReadonlyArray<readonly [string, GangRequest]> = [
		['1 member of 1 in a worker', createGang(1, 1, 'worker')],
		['4 members of 2 in a rack', createGang(4, 2, 'rack')],
		['256 members of 2 in the zone', createGang(256, 2, 'zone')],
		['17 members of 2 in a worker', createGang(17, 2, 'worker')],
	];
	return gangs.map(([name, gang]) => {
		const milliseconds = medianTime(() => placeGang(view, gang));
		return {
			name, kind: placeGang(view, gang).kind, milliseconds, ratio: milliseconds / scan,
		};
	});
}

function createLargeView(): ZoneView {
	return {
		workers: Array.from({length: workerCount}, (_, index): WorkerView => ({
			worker: `w${String(index).padStart(5, '0')}` as WorkerId,
			rack: `r${Math.floor(index / 10)}` as RackName,
			// 8,200 accelerators in all.
			accelerators: index < 3900 ? 2 : 1,
			cells: index % 2 === 0 ? [] : [{plan: `p${index % 50}` as PlanName, accelerators: [0]}],
			holdings: index % 3 === 0
				? [{
					job: `j${index % 300}` as JobId, plan: 'q' as PlanName, accelerators: [0], preemptible: true, submittedAt: index,
				}]
				: [],
		})),
	};
}

function createGang(members: number, acceleratorsPerMember: number, adjacency: 'worker' | 'rack' | 'zone'): GangRequest {
	return {
		job: 'new' as JobId, plan: 'p1' as PlanName, shape: {members, acceleratorsPerMember, adjacency}, preemptible: false, submittedAt: 0,
	};
}

function scanFree(view: ZoneView): number {
	let free = 0;
	for (const {accelerators, holdings} of view.workers) {
		const held = new Set<number>();
		for (const holding of holdings) {
			for (const index of holding.accelerators) {
				held.add(index);
			}
		}

		for (let index = 0; index < accelerators; index++) {
			free += held.has(index) ? 0 : 1;
		}
	}

	return free;
}

function medianTime(action: () => unknown): number {
	const times = Array.from({length: rounds}, () => {
		const start = performance.now();
		action();
		return performance.now() - start;
	});
	return times.toSorted((first, second) => first - second)[Math.floor(rounds / 2)]!;
}
