/** Runs one planned soak and returns its history. */
import {sleep, systemClock} from '#kernel';
import {startCallers, type Callers} from './callers.js';
import {startFleet} from './fleet.js';
import type {History, SoakPlan} from './types.js';

/** Time limit for jobs to end after the last fault. It covers the 12 s that scheduling waits for unreadable workers after the loss of a scheduler, and the work itself. */
const settleMilliseconds = 30_000;
const settlePollMilliseconds = 250;

/** Time limit for an entry that was killed late to restart and load the configuration. */
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
	const fleet = await startFleet(plan);
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
