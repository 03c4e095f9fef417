/** Measures accelerator use from the workers' execution records. */
import type {
	JobId, PlanName, RackName, Timestamp, WorkerId,
} from '#core';
import {measureFragmentation, type WaitingShape, type ZoneView} from '#placement';
import type {Arrival} from './arrivals.js';
import type {Execution, CallerResult} from './types.js';

const sampleMilliseconds = 250;

export type AcceleratorUse = Readonly<{
	/** Share of all accelerators in use. */
	utilisation: number;
	/** Share of the free accelerators that no waiting gang can use. */
	fragmentation: number;
}>;

export type UseInput = Readonly<{
	/** Result and arrival of each gang. */
	gangs: ReadonlyArray<Readonly<{result: CallerResult; arrival: Arrival}>>;
	executions: readonly Execution[];
	workers: ReadonlyArray<Readonly<{name: string; zone: string}>>;
	acceleratorsPerWorker: number;
}>;

/** Samples accelerator use between the first and the last gang submission. */
export function measureAcceleratorUse(input: UseInput): AcceleratorUse {
	const submissions = input.gangs.map(({result}) => result.submittedAt);
	const total = {
		all: 0, free: 0, unusable: 0,
	};
	for (let at = Math.min(...submissions); at <= Math.max(...submissions); at += sampleMilliseconds) {
		const waiting = listWaiting(input, at);
		for (const zone of new Set(input.workers.map(worker => worker.zone))) {
			const view = buildView(input, zone, at);
			const used = view.workers.flatMap(({holdings}) => holdings).reduce((sum, {accelerators}) => sum + accelerators.length, 0);
			const all = view.workers.length * input.acceleratorsPerWorker;
			total.all += all;
			total.free += all - used;
			total.unusable += measureFragmentation(view, waiting) * (all - used);
		}
	}

	return {utilisation: 1 - (total.free / total.all), fragmentation: total.free === 0 ? 0 : total.unusable / total.free};
}

/** Lists gangs that are submitted, have not ended and have no running task. */
function listWaiting({gangs, executions}: UseInput, at: Timestamp): readonly WaitingShape[] {
	const running = new Set(executions.filter(execution => isRunning(execution, at)).map(({id}) => id));
	return gangs
		.filter(({result}) => result.submittedAt <= at && result.endedAt > at && !running.has(result.id))
		.map(({arrival}) => ({
			plan: arrival.plan as PlanName,
			preemptible: arrival.preemptible,
			shape: {members: arrival.members, acceleratorsPerMember: arrival.acceleratorsPerMember, adjacency: 'zone'},
		}));
}

function isRunning({startedAt, endedAt}: Execution, at: Timestamp): boolean {
	return startedAt <= at && (endedAt ?? Number.POSITIVE_INFINITY) > at;
}

/** Builds the view of a zone for the fragmentation measure. It has no guaranteed cells and the gangs may span racks, so the rack, plan and preemptibility are placeholders. */
function buildView({executions, workers, acceleratorsPerWorker}: UseInput, zone: string, at: Timestamp): ZoneView {
	return {
		workers: workers.filter(worker => worker.zone === zone).map(({name}) => ({
			worker: name as WorkerId,
			rack: zone as RackName,
			accelerators: acceleratorsPerWorker,
			cells: [],
			holdings: executions
				.filter(execution => execution.worker === name && execution.accelerators.length > 0 && isRunning(execution, at))
				.map(({id, accelerators, startedAt}) => ({
					job: id as JobId, plan: 'any' as PlanName, accelerators, preemptible: false, submittedAt: startedAt,
				})),
		})),
	};
}
