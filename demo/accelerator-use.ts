/** Use of accelerators, worked out from the workers' records. */
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
	/** Share of the free accelerators that no waiting gang could use. */
	fragmentation: number;
}>;

export type UseInput = Readonly<{
	/** What callers were told, with the arrival of each. */
	gangs: ReadonlyArray<Readonly<{told: CallerResult; arrival: Arrival}>>;
	executions: readonly Execution[];
	workers: ReadonlyArray<Readonly<{name: string; zone: string}>>;
	acceleratorsPerWorker: number;
}>;

/** Samples the use between the first and the last submission of a gang. */
export function measureAcceleratorUse(input: UseInput): AcceleratorUse {
	const submissions = input.gangs.map(({told}) => told.submittedAt);
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

/** Gangs that were submitted, have not ended and have no task running. */
function listWaiting({gangs, executions}: UseInput, at: Timestamp): readonly WaitingShape[] {
	const running = new Set(executions.filter(execution => isRunning(execution, at)).map(({id}) => id));
	return gangs
		.filter(({told}) => told.submittedAt <= at && told.endedAt > at && !running.has(told.id))
		.map(({arrival}) => ({
			plan: arrival.plan as PlanName,
			preemptible: arrival.preemptible,
			shape: {members: arrival.members, acceleratorsPerMember: arrival.acceleratorsPerMember, adjacency: 'zone'},
		}));
}

function isRunning({startedAt, endedAt}: Execution, at: Timestamp): boolean {
	return startedAt <= at && (endedAt ?? Number.POSITIVE_INFINITY) > at;
}

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
