import type {WorkerId} from '#core';
import type {AgentView} from '#membership';
import type {
	AbsentWorker, InventoryWorker, Layout, WorkerCell, WorkerView, ZoneView,
} from '#placement';

export type ZoneViewSource = Readonly<{
	agents: readonly AgentView[];
	/** Undefined until the store has been read; until then no accelerator counts as guaranteed. */
	layout: Layout | undefined;
	absent: readonly AbsentWorker[];
	isComplete: boolean;
}>;

/** Combines the agents' capacity and holdings with the cells of the layout. Workers that are leaving appear only as absent. */
export function buildZoneView({agents, layout, absent, isComplete}: ZoneViewSource): ZoneView {
	const cells = groupCells(layout);
	return {
		workers: agents.filter(({isLeaving}) => !isLeaving).map(agent => toWorkerView(agent, cells)),
		absent: absent.flatMap(({lastKnown: known}) => known === undefined ? [] : [toAbsentView(known, cells)]),
		isComplete,
	};
}

function groupCells(layout: Layout | undefined): ReadonlyMap<WorkerId, readonly WorkerCell[]> {
	const cells = new Map<WorkerId, WorkerCell[]>();
	for (const [position, {plan, adjacency, accelerators: size, parts}] of (layout?.cells ?? []).entries()) {
		const cell = {position, adjacency, accelerators: size};
		for (const {worker, accelerators} of parts) {
			const workerCells = cells.get(worker) ?? [];
			cells.set(worker, workerCells);
			workerCells.push({plan, accelerators, cell});
		}
	}

	return cells;
}

function toWorkerView({worker, rack, capacity, holdings}: AgentView, cells: ReadonlyMap<WorkerId, readonly WorkerCell[]>): WorkerView {
	return {
		worker,
		rack,
		accelerators: capacity.accelerators,
		cells: cells.get(worker) ?? [],
		holdings: holdings.map(({attempt: _, ...holding}) => holding),
	};
}

function toAbsentView({worker, rack, accelerators}: InventoryWorker, cells: ReadonlyMap<WorkerId, readonly WorkerCell[]>): WorkerView {
	return {
		worker, rack, accelerators, cells: cells.get(worker) ?? [], holdings: [],
	};
}
