/** Builders of zones, layouts and gangs for the placement tests. */
import type {Configuration, Guarantee} from '#configuration';
import type {
	JobId, PlanName, RackName, WorkerId, ZoneName,
} from '#core';
import type {
	Cell, GangRequest, InventoryWorker, Layout, WorkerHolding, ZoneInventory, ZoneView,
} from '#placement';

export const zone = 'north-a' as ZoneName;

/** Creates a zone of equal workers `w01`, `w02`… with three workers per rack. */
export function createInventory(workers: number, accelerators = 8, absenceDelay = 1000): ZoneInventory {
	return {
		zone, absent: [], absenceDelay, workers: Array.from({length: workers}, (_, index) => createWorker(index + 1, accelerators)),
	};
}

export function createWorker(number: number, accelerators = 8): InventoryWorker {
	return {
		worker: `w${String(number).padStart(2, '0')}` as WorkerId,
		rack: `r${Math.ceil(number / 3)}` as RackName,
		accelerators,
		pinned: [],
	};
}

/** Makes workers absent since a point in time. */
export function removeWorkers(inventory: ZoneInventory, removedWorkers: readonly string[], since: number): ZoneInventory {
	const [removed, present] = [true, false].map(isRemoved => inventory.workers.filter(({worker}) => removedWorkers.includes(worker) === isRemoved));
	return {
		...inventory, workers: present ?? [], absent: [...inventory.absent, ...(removed ?? []).map(known => ({worker: known.worker, since, lastKnown: known}))],
	};
}

/** Guarantees by plan, each as `[adjacency, accelerators, count]`. */
export type Guarantees = Readonly<Record<string, ReadonlyArray<readonly [Guarantee['adjacency'], number, number]>>>;

export function createConfiguration(guarantees: Guarantees, revision = 1): Configuration {
	const names = Object.keys(guarantees) as PlanName[];
	return {
		plans: names.map(name => ({name, urgency: 'normal', weight: 1})),
		allowances: names.map(plan => ({
			plan,
			guarantees: (guarantees[plan] ?? []).map(([adjacency, accelerators, count]) => ({
				zone, adjacency, accelerators, count,
			})),
			maximumAccelerators: 0,
			maximumSlots: 0,
			maximumQueued: 100,
		})),
		revision,
		changeId: String(revision),
		changedBy: 'test',
		changedAt: 0,
	};
}

/** Describes the accelerators of each cell. Example: `a w01:0,1 w02:0`. */
export function describeCells({cells}: Pick<Layout, 'cells'>): readonly string[] {
	return cells.map(describeCell);
}

export function describeCell({plan, parts}: Cell): string {
	return [plan, ...parts.map(({worker, accelerators}) => `${worker}:${accelerators.join(',')}`)].join(' ');
}

export type HoldingEntry = readonly [job: string, worker: string, accelerators: readonly number[], preemptible: boolean, plan?: string];

export function createView({workers}: ZoneInventory, layout: Pick<Layout, 'cells'>, holdings: readonly HoldingEntry[] = []): ZoneView {
	return {
		workers: workers.map(({worker, rack, accelerators}) => ({
			worker,
			rack,
			accelerators,
			cells: layout.cells.flatMap(({plan, adjacency, accelerators: size, parts}, position) => parts.filter(part => part.worker === worker).map(part => ({
				plan, accelerators: part.accelerators, cell: {position, adjacency, accelerators: size},
			}))),
			holdings: holdings.filter(holding => holding[1] === worker).map<WorkerHolding>(([job, , held, preemptible, plan = 'other']) => ({
				job: job as JobId, plan: plan as PlanName, accelerators: held, preemptible, submittedAt: 0,
			})),
		})),
	};
}

export function createGang(plan: string, [members, acceleratorsPerMember]: readonly [number, number], adjacency: Guarantee['adjacency'], preemptible = false): GangRequest {
	return {
		job: 'new' as JobId, plan: plan as PlanName, shape: {members, acceleratorsPerMember, adjacency}, preemptible, submittedAt: 1,
	};
}
