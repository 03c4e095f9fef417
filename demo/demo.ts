/** Runs the whole system on loopback under a mixed load with faults, and verifies the results against the workers' records. */
import {spawn} from 'node:child_process';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandomSource} from '#core';
import {killAll, type Daemon} from '#test/support/processes';
import {measureAcceleratorUse} from './accelerator-use.js';
import {listArrivals, type Arrival} from './arrivals.js';
import {submitArrival, rotateOrigins} from './callers.js';
import {compareWithRecords} from './compare.js';
import {
	acceleratorsPerWorker, demoZones, startFleet, startFleetStore, waitUntilReady, type Fleet,
} from './fleet.js';
import {readExecutions} from './records.js';
import {formatComparison, formatReport} from './report.js';
import type {CallerResult} from './types.js';

const seed = 16;
/** Times after the start of the load at which one agent is stopped gracefully and one entry is killed. */
const stopAgentAtMilliseconds = 4000;
const killEntryAtMilliseconds = 7000;

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

async function putConfiguration(storeOrigin: string): Promise<void> {
	const child = spawn(process.execPath, ['dist/dotterelnotch.mjs', 'put', 'demo/lists.yaml', `--store-origin=${storeOrigin}`], {stdio: ['ignore', 'inherit', 'inherit']});
	const code = await new Promise<number | null>(resolve => {
		child.once('exit', resolve);
	});
	if (code !== 0) {
		throw new Error(`putting demo/lists.yaml failed with exit code ${code}`);
	}
}

async function runLoad(arrivals: readonly Arrival[], fleet: Fleet): Promise<readonly CallerResult[]> {
	const startedAt = Date.now();
	const calls = arrivals.map(async (arrival, index) => {
		await delay(Math.max(0, startedAt + arrival.at - Date.now()));
		return submitArrival(arrival, rotateOrigins(fleet.entries.map(({origin}) => origin), index));
	});
	const faults = [
		(async () => {
			await delay(stopAgentAtMilliseconds);
			print(`stopping the agent of ${fleet.workers[0]?.name} gracefully`);
			fleet.workers[0]?.agent.process.kill('SIGTERM');
		})(),
		(async () => {
			await delay(killEntryAtMilliseconds);
			print(`killing ${fleet.entries[1]?.name}`);
			fleet.entries[1]?.daemon.process.kill('SIGKILL');
		})(),
	];
	const results = await Promise.all(calls);
	await Promise.all(faults);
	return results;
}

async function run(): Promise<number> {
	const daemons: Daemon[] = [];
	try {
		const store = await startFleetStore();
		daemons.push(store.store);
		await putConfiguration(store.storeOrigin);
		const fleet = await startFleet(store, demoZones);
		daemons.push(...fleet.daemons);
		await waitUntilReady(fleet);
		const arrivals = listArrivals(createRandomSource(seed));
		print(`started ${fleet.entries.length} entries and ${fleet.workers.length} agents; sending ${arrivals.length} pieces of work`);
		const results = await runLoad(arrivals, fleet);
		const executions = await readExecutions(fleet.workers);
		const gangs = results.flatMap((result, index) => result.workClass === 'gang' ? [{result, arrival: arrivals[index]!}] : []);
		const use = measureAcceleratorUse({
			gangs, executions, workers: fleet.workers, acceleratorsPerWorker,
		});
		const comparison = compareWithRecords(results, executions);
		for (const line of [...formatReport(results, use), '', ...comparison.discrepancies, formatComparison(comparison)]) {
			print(line);
		}

		return comparison.lost + comparison.doubled + comparison.misreported === 0 ? 0 : 1;
	} finally {
		await killAll(daemons);
	}
}

process.exitCode = await run();
