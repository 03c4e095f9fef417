import {expect} from 'chai';
import type {WorkerId} from '#core';
import {
	createServices, createVirtualClock, silentLog,
} from '#kernel';
import type {RpcPeer} from '#transport';
import {entryPlugins} from '../../packages/entry/plugins.js';
import '../../packages/entry/plugins/index.js';
import {connectionsService} from '../../packages/entry/plugins/connections.js';
import {entriesService} from '../../packages/entry/plugins/entries.js';
import {layoutService} from '../../packages/entry/plugins/layout-task.js';
import {findConnection} from '../../packages/entry/requests/places.js';
import type {EntryContext} from '../../packages/entry/types.js';

const worker = 'worker-1' as WorkerId;

type Event = Readonly<{kind: 'announce' | 'close'; incarnation: string; connection: number}>;

type Case = Readonly<{
	name: string;
	events: readonly Event[];
	/** Connection over which the agent `b` is called at the end. */
	connection: number | undefined;
}>;

const announce = (incarnation: string, connection: number): Event => ({kind: 'announce', incarnation, connection});
const close = (incarnation: string, connection: number): Event => ({kind: 'close', incarnation, connection});

const cases: readonly Case[] = [
	{
		name: 'a restarted agent is called over its own connection (call for one process sent to another)',
		events: [announce('a', 0), announce('b', 1)],
		connection: 1,
	},
	{
		name: 'an agent that reconnects is called over its new connection (worker without work)',
		events: [announce('b', 0), close('b', 0), announce('b', 1)],
		connection: 1,
	},
	{
		name: 'a late announcement of the earlier incarnation does not take the calls for its successor (gang reported as never started by the wrong process)',
		events: [announce('a', 0), announce('b', 1), announce('a', 2)],
		connection: 1,
	},
	{
		name: 'the end of a late connection of the earlier incarnation leaves its successor connected (worker without work until it reconnects)',
		events: [announce('a', 0), announce('b', 1), announce('a', 2), close('a', 2)],
		connection: 1,
	},
];

function createFakePeer(): RpcPeer {
	const listeners = new Set<(reason: string) => void>();
	let isOpen = true;
	const peer: Partial<RpcPeer> = {
		isOpen: () => isOpen,
		close(reason) {
			isOpen = false;
			for (const listener of listeners) {
				listener(reason);
			}
		},
		onClosed(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
	};
	return peer as RpcPeer;
}

function startEntry(): EntryContext {
	const services = createServices();
	services.provide(layoutService, {chooseSlice: () => undefined} as never);
	services.provide(entriesService, {read: () => ({self: undefined, records: new Map()})} as never);
	const context = {
		services, clock: createVirtualClock(), log: silentLog, settings: {entry: 'entry-a'},
	} as unknown as EntryContext;
	for (const task of entryPlugins.tasks().filter(({name}) => name === 'connections' || name === 'membership')) {
		task.start(context);
	}

	return context;
}

async function announceAgent(incarnation: string, peer: RpcPeer, context: EntryContext): Promise<void> {
	const load = {
		shortQueued: 0, shortRunning: 0, longQueued: 0, longRunning: 0, started: 0, failed: 0,
	};
	try {
		await entryPlugins.rpcMethods().find(({name}) => name === 'agent.announce')?.handle({
			worker, incarnation, rack: 'rack-1', capacity: {slots: 8}, load, holdings: [], leaving: false, configurationRevision: 1, layoutRevision: 1,
		}, context, peer);
	} catch {
		// The agent receives an error and closes its connection.
	}
}

describe('announcements of agents', () => {
	for (const {name, events, connection} of cases) {
		it(name, async () => {
			const context = startEntry();
			const peers = [createFakePeer(), createFakePeer(), createFakePeer()];
			for (const event of events) {
				const peer = peers[event.connection] ?? createFakePeer();
				if (event.kind === 'announce') {
					await announceAgent(event.incarnation, peer, context);
				} else {
					peer.close('closed by the peer');
				}
			}

			const found = findConnection(context, {worker, incarnation: 'b' as never});
			expect(found.kind === 'connected' ? peers.indexOf(found.peer) : undefined).to.equal(connection);
			expect(context.services.use(connectionsService).read().workers.size).to.equal(1);
		});
	}
});
