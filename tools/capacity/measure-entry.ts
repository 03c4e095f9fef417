import {startDaemon, type Daemon} from '#test/support/processes';
import {connectFakeAgents} from './fake-agents.js';
import {measureCosts} from './measure-costs.js';
import type {Sample} from './types.js';

/** Measures entries with different numbers of connected idle agents, all in the same interval. */
export async function measureEntries(storeOrigin: string, sizes: readonly number[], daemons: Daemon[]): Promise<readonly Sample[]> {
	const subjects = [];
	for (const size of sizes) {
		const daemon = await startDaemon('dotterelnotch-entry', {
			entry: `entry-${size}`, region: 'north', zone: `zone-${size}`, 'store-origin': storeOrigin, 'listen-port': 0, 'peer-port': 0, 'log-level': 'error',
		});
		daemons.push(daemon);
		subjects.push({size, daemon, agents: await connectFakeAgents(`127.0.0.1:${daemon.ports['peers']}`, size)});
	}

	const samples = await measureCosts(subjects.map(({size, daemon, agents}) => ({size, daemon, countBytes: agents.bytes})));
	for (const {agents} of subjects) {
		agents.close();
	}

	return samples;
}
