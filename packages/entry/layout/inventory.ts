import type {MonotonicTime, WorkerId} from '#core';
import type {AgentView} from '#membership';
import type {AbsentWorker, InventoryWorker, ZoneInventory} from '#placement';
import type {LayoutState} from './types.js';

/** What the zone has for cells, as this entry knows it. */
export function describeInventory({zone, absenceDelay, workers, absent}: LayoutState): ZoneInventory {
	return {
		zone, absenceDelay, workers: [...workers.values()], absent: [...absent.values()],
	};
}

/** Takes over the present agents. Workers that vanished or are leaving, and unseen workers with cells, are absent from now on. */
export function observeWorkers(state: LayoutState, agents: readonly AgentView[], now: MonotonicTime): LayoutState {
	const present = agents.filter(({isLeaving}) => !isLeaving);
	const workers = new Map(present.map(agent => [agent.worker, toInventoryWorker(agent)]));
	const withCells = new Set(state.stored?.layout.cells.flatMap(({parts}) => parts.map(({worker}) => worker)));
	const absent = new Map<WorkerId, AbsentWorker>();
	for (const worker of new Set([...state.absent.keys(), ...state.workers.keys(), ...withCells])) {
		const entry = state.absent.get(worker) ?? {worker, since: now, lastKnown: state.workers.get(worker)};
		// A worker that has been away for longer is forgotten once its cells have moved.
		if (!workers.has(worker) && (withCells.has(worker) || now - entry.since < state.absenceDelay)) {
			absent.set(worker, entry);
		}
	}

	return {...state, workers, absent};
}

function toInventoryWorker({worker, rack, capacity, holdings}: AgentView): InventoryWorker {
	return {
		worker,
		rack,
		accelerators: capacity.accelerators,
		pinned: holdings.filter(({preemptible}) => !preemptible).map(({plan, accelerators}) => ({plan, accelerators})),
	};
}
