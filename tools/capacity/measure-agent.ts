import type {EntryId} from '#core';
import {createRegistry, silentLog, systemClock} from '#kernel';
import {announceParametersSchema, reportParametersSchema} from '#protocol';
import {startDaemon, type Daemon} from '#test/support/processes';
import {listenForPeers, type PeerListener, type RpcPeer} from '#transport';
import {measureCosts} from './measure-costs.js';
import type {Sample} from './types.js';

const registry = createRegistry<undefined, RpcPeer>('fake-entries');
registry.register({
	kind: 'rpc-method',
	name: 'agent.announce',
	parametersSchema: announceParametersSchema,
	handle: async () => ({entry: 'entry-1' as EntryId, entries: []}),
});
registry.register({
	kind: 'rpc-method', name: 'agent.report', parametersSchema: reportParametersSchema, handle: async () => ({}),
});

/** Measures idle agents that are connected to different numbers of entries, all in the same interval. */
export async function measureAgents(workerOrigin: string, sizes: readonly number[], daemons: Daemon[]): Promise<readonly Sample[]> {
	const subjects = [];
	for (const size of sizes) {
		const listeners = await Promise.all(Array.from({length: size}, async () => listenForPeers('127.0.0.1', 0, {
			registry, context: undefined, clock: systemClock, log: silentLog.withPrefix('fake-entries'),
		})));
		const daemon = await startDaemon('dotterelnotch-agent', {
			worker: `worker-${size}`, region: 'north', zone: 'north-a', rack: 'rack-1', 'worker-origin': workerOrigin,
			entries: listeners.map(({port}) => `127.0.0.1:${port}`).join(','), 'log-level': 'error',
		});
		daemons.push(daemon);
		subjects.push({size, daemon, listeners});
	}

	const samples = await measureCosts(subjects.map(({size, daemon, listeners}) => ({size, daemon, countBytes: () => countBytes(listeners)})));
	for (const {listeners} of subjects) {
		for (const listener of listeners) {
			listener.close();
		}
	}

	return samples;
}

function countBytes(listeners: readonly PeerListener[]): number {
	return listeners.flatMap(listener => listener.peers()).map(peer => peer.traffic()).reduce((sum, {sent, received}) => sum + sent + received, 0);
}
