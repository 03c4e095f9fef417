import type {MonotonicTime, WorkerId} from '#core';
import type {AgentView} from '#membership';
import type {AbsentWorker, InventoryWorker, ZoneInventory} from '#placement';
import type {LayoutState} from './types.js';

/** Describes the workers that cells can be assigned to, as known to this entry. */
export function describeInventory({zone, absenceDelay, workers, absent}: LayoutState): ZoneInventory {
	return {
		zone, absenceDelay, workers: [...workers.values()], absent: [...absent.values()],
	};
}

/** Updates the workers from the current agents. Workers that disappeared or are leaving, and unseen workers with cells, become absent. */
export function observeWorkers(state: LayoutState, agents: readonly AgentView[], now: MonotonicTime): LayoutState {
	const active = agents.filter(({isLeaving}) => !isLeaving);
	const workers = new Map(active.map(agent => [agent.worker, toInventoryWorker(agent)]));
	const withCells = new Set(state.stored?.layout.cells.flatMap(({parts}) => parts.map(({worker}) => worker)));
	const absent = new Map<WorkerId, AbsentWorker>();
	for (const worker of new Set([...state.absent.keys(), ...state.workers.keys(), ...withCells])) {
		const absence = state.absent.get(worker) ?? {worker, since: now, lastKnown: state.workers.get(worker)};
		// A worker that has been absent for longer than the delay is removed once its cells have been reassigned.
		if (!workers.has(worker) && (withCells.has(worker) || now - absence.since < state.absenceDelay)) {
			absent.set(worker, absence);
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
