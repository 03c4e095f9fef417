import {setTimeout as delay} from 'node:timers/promises';
import {startDaemon, type Daemon} from '#test/support/processes';
import {connectFakeAgents} from './fake-agents.js';
import {readProcessorSeconds, readResidentMegabytes} from './process-cost.js';
import type {Sample} from './types.js';

const settleMilliseconds = 5000;
const intervalSeconds = 15;

/** Measures entries that hear different numbers of idle agents, all in the same interval. */
export async function measureEntries(storeOrigin: string, sizes: readonly number[], daemons: Daemon[]): Promise<readonly Sample[]> {
	const subjects = [];
	for (const size of sizes) {
		const daemon = await startDaemon('dotterelnotch-entry', {
			entry: `entry-${size}`, region: 'north', zone: `zone-${size}`, 'store-origin': storeOrigin, 'listen-port': 0, 'peer-port': 0, 'log-level': 'error',
		});
		daemons.push(daemon);
		subjects.push({size, daemon, agents: await connectFakeAgents(`127.0.0.1:${daemon.ports['peers']}`, size)});
	}

	await delay(settleMilliseconds);
	const before = await Promise.all(subjects.map(async ({daemon, agents}) => ({seconds: await readProcessorSeconds(daemon.process.pid ?? 0), bytes: agents.bytes()})));
	await delay(intervalSeconds * 1000);
	const samples = await Promise.all(subjects.map(async ({size, daemon, agents}, index): Promise<Sample> => ({
		size,
		cost: {
			processor: (await readProcessorSeconds(daemon.process.pid ?? 0) - (before[index]?.seconds ?? 0)) / intervalSeconds,
			residentMegabytes: await readResidentMegabytes(daemon.process.pid ?? 0),
			bytesPerSecond: (agents.bytes() - (before[index]?.bytes ?? 0)) / intervalSeconds,
		},
	})));
	for (const {agents} of subjects) {
		agents.close();
	}

	return samples;
}
