import {setTimeout as delay} from 'node:timers/promises';
import type {Incarnation, RackName, WorkerId} from '#core';
import {createRegistry, silentLog, systemClock} from '#kernel';
import {reportIntervalMilliseconds} from '#protocol';
import {connectToPeer, type RpcPeer} from '#transport';

const registry = createRegistry<undefined, RpcPeer>('fake-agents');
const callTimeoutMilliseconds = 10_000;
const idleLoad = {
	shortQueued: 0, shortRunning: 0, longQueued: 0, longRunning: 0, started: 0, failed: 0,
};

/** Connections that announce workers and report like agents, without any work. */
export type FakeAgents = Readonly<{
	/** Total bytes of messages in both directions. */
	bytes(): number;
	close(): void;
}>;

/** Opens the given number of announced connections to one entry and sends unchanged reports on each at the regular interval, as an idle agent does. */
export async function connectFakeAgents(address: string, count: number): Promise<FakeAgents> {
	const peers: RpcPeer[] = [];
	let isClosed = false;
	for (let index = 0; index < count; index++) {
		const peer = await connectToPeer(address, {
			registry, context: undefined, clock: systemClock, log: silentLog.withPrefix('fake-agents'),
		});
		if (peer === undefined) {
			throw new Error(`entry at ${address} refused connection ${index}`);
		}

		peers.push(peer);
		await announce(peer, index);
	}

	const reportUntilClosed = async (peer: RpcPeer, index: number) => {
		await delay((reportIntervalMilliseconds * index) / count);
		while (!isClosed) {
			await Promise.all([
				peer.call('agent.report', {}, callTimeoutMilliseconds),
				delay(reportIntervalMilliseconds),
			]);
		}
	};

	for (const [index, peer] of peers.entries()) {
		void reportUntilClosed(peer, index);
	}

	return {
		bytes: () => peers.map(peer => peer.traffic()).reduce((sum, {sent, received}) => sum + sent + received, 0),
		close() {
			isClosed = true;
			for (const peer of peers) {
				peer.close('measurement is over');
			}
		},
	};
}

async function announce(peer: RpcPeer, index: number): Promise<void> {
	await peer.call('agent.announce', {
		worker: `worker-${index}` as WorkerId,
		incarnation: `incarnation-${index}` as Incarnation,
		region: 'north',
		zone: 'north-a',
		rack: `rack-${Math.floor(index / 3)}` as RackName,
		capacity: {
			slots: 8, connections: 60, processors: 130, memoryMegabytes: 256_000, accelerators: 2,
		},
		load: idleLoad,
		holdings: [],
		configurationRevision: 0,
		layoutRevision: 0,
		leaving: false,
	}, callTimeoutMilliseconds);
}
