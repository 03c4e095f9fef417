/** Plays one planned soak and returns what callers and workers saw. */
import {sleep, systemClock} from '#kernel';
import {startCallers, type Callers} from './callers.js';
import {startFleet} from './fleet.js';
import type {History, SoakPlan} from './types.js';

/** Longest time that jobs may take to end after the last fault: a lost scheduler's wait for workers that it cannot read (12 s), and the work itself. */
const settleMilliseconds = 30_000;
const settlePollMilliseconds = 250;

/** An entry that was killed last may still be starting. */
const recoveryMilliseconds = 12_000;

async function pollNewestQueue(entry: number, path: string, callers: Callers): Promise<number> {
	const deadline = Date.now() + recoveryMilliseconds;
	let status = await callers.queryStatus(entry, path);
	while (status !== 200 && Date.now() < deadline) {
		await sleep(systemClock, settlePollMilliseconds);
		status = await callers.queryStatus(entry, path);
	}

	return status;
}

export async function runSoak(plan: SoakPlan): Promise<History> {
	const fleet = await startFleet(plan.size, plan.seed);
	const startedAt = Date.now();
	const callers = startCallers(fleet.fronts, plan.seed);
	try {
		await Promise.all([
			sleep(systemClock, plan.size.seconds * 1000),
			...plan.faults.map(async fault => {
				await sleep(systemClock, fault.at);
				await fleet.apply(fault);
			}),
		]);
		callers.stopSubmitting();
		const calmAt = Date.now();
		while (!callers.isSettled() && Date.now() < calmAt + settleMilliseconds) {
			await sleep(systemClock, settlePollMilliseconds);
		}

		const newestQueue = await Promise.all(fleet.fronts.map(async (_, entry) => pollNewestQueue(entry, fleet.newestQueuePath(), callers)));
		await callers.stop();
		return {
			plan, startedAt, calmAt, endedAt: Date.now(), jobs: callers.jobs, calls: callers.calls, runs: fleet.listRuns(), newestQueue,
		};
	} finally {
		await fleet.stop();
	}
}
