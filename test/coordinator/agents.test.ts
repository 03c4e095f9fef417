import {expect} from 'chai';
import type {EntryId} from '#core';
import {
	coordinatorPlugins, directoryService, leadershipService, leaseService, schedulerService, type CoordinatorContext,
} from '#coordinator';
import {
	createCounters, createServices, createVirtualClock, silentLog,
} from '#kernel';
import type {SchedulerMessage} from '#scheduling';
import type {LeaseHandle} from '#store';
import type {RpcPeer} from '#transport';
import {snapshotOf} from '#test/support/scheduling';
import '../../packages/coordinator/plugins/index.js';

type Connection = 'first' | 'second';

type Event =
	| Readonly<{kind: 'attach' | 'close'; connection: Connection}>
	/** A renewal with a snapshot of the given worker incarnation. */
	| Readonly<{kind: 'renew'; connection: Connection; incarnation: string}>;

type Case = Readonly<{
	name: string;
	events: readonly Event[];
	/** Messages to the scheduler: the incarnation of a snapshot, or the kind of any other message. */
	messages: readonly string[];
	/** Connections that are open at the end. */
	open: readonly Connection[];
}>;

const attach = (connection: Connection): Event => ({kind: 'attach', connection});
const close = (connection: Connection): Event => ({kind: 'close', connection});
const renew = (connection: Connection, incarnation: string): Event => ({kind: 'renew', connection, incarnation});

const cases: readonly Case[] = [
	{
		name: 'renewals over the only connection reach the scheduler (worker that is never used)',
		events: [attach('first'), renew('first', '1'), renew('first', '2')],
		messages: ['1', '2'],
		open: ['first', 'second'],
	},
	{
		name: 'an agent that reconnects is served over its new connection (worker that is never used)',
		events: [attach('first'), renew('first', '1'), close('first'), attach('second'), renew('second', '1')],
		messages: ['1', 'detached', '1'],
		open: ['second'],
	},
	{
		name: 'a renewal that arrives over a replaced connection is ignored (runs of the new worker incarnation released and started elsewhere)',
		events: [attach('first'), renew('first', '1'), attach('second'), renew('second', '2'), renew('first', '1')],
		messages: ['1', '2'],
		open: ['second'],
	},
	{
		name: 'a late attachment does not take an agent back from its new connection (orders that no process receives)',
		events: [attach('first'), attach('second'), renew('second', '2'), attach('first'), renew('second', '2')],
		messages: ['2', '2'],
		open: ['second'],
	},
	{
		name: 'the end of a replaced connection does not detach the agent (running work started elsewhere)',
		events: [attach('first'), renew('first', '1'), attach('second'), renew('second', '1'), close('first')],
		messages: ['1', '1'],
		open: ['second'],
	},
	{
		name: 'a renewal that is handled after its connection has closed is ignored (agent that stays attached without a connection)',
		events: [attach('first'), renew('first', '1'), close('first'), renew('first', '1')],
		messages: ['1', 'detached'],
		open: ['second'],
	},
];

function createFakePeer(address: string): RpcPeer {
	const listeners = new Set<(reason: string) => void>();
	let isOpen = true;
	const peer: Partial<RpcPeer> = {
		address,
		close(reason) {
			if (isOpen) {
				isOpen = false;
				for (const listener of listeners) {
					listener(reason);
				}
			}
		},
		isOpen: () => isOpen,
		onClosed(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
	};
	return peer as RpcPeer;
}

/** Starts the tasks that handle renewals, in an entry that schedules. */
function startSchedulingEntry(messages: string[]): CoordinatorContext {
	const entry = 'entry-a' as EntryId;
	const services = createServices();
	const clock = createVirtualClock();
	const held = {lease: '1', requestedAt: 1, validUntil: 1_000_000};
	services.provide(leaseService, {getValid: () => held, getLatest: () => held, onChanged: () => () => undefined} as unknown as LeaseHandle);
	services.provide(directoryService, {
		name: 'directory', read: () => ({values: new Map()}), send: () => undefined, subscribe: () => () => undefined, stop: () => undefined,
	});
	services.provide(schedulerService, {
		beginTerm: () => undefined,
		endTerm: () => undefined,
		send(message: SchedulerMessage) {
			messages.push(message.kind === 'renewed' ? message.snapshot?.incarnation ?? 'renewed' : message.kind);
		},
		read: () => undefined,
	});
	const context = {
		services, clock, counters: createCounters(), log: silentLog, settings: {
			entry, 'listen-host': 'h', 'peer-ports': [1], seeds: [],
		},
	} as unknown as CoordinatorContext;
	for (const task of coordinatorPlugins.tasks().filter(({name}) => name === 'leadership' || name === 'agents')) {
		task.start(context);
	}

	const leadership = services.use(leadershipService);
	leadership.send({kind: 'lease-changed', lease: '1'});
	leadership.send({
		kind: 'observed', epoch: {value: 1, version: 1}, leader: {
			value: {
				entry, epoch: 1, address: 'h:1', lease: '1',
			}, version: 1,
		},
	});
	return context;
}

async function callMethod(name: string, parameters: unknown, context: CoordinatorContext, peer: RpcPeer): Promise<void> {
	try {
		await coordinatorPlugins.rpcMethods().find(method => method.name === name)?.handle(parameters, context, peer);
	} catch {
		// The agent receives an error and closes its connection.
	}
}

describe('connections of agents', () => {
	for (const {name, events, messages, open} of cases) {
		it(name, async () => {
			const sent: string[] = [];
			const context = startSchedulingEntry(sent);
			const peers = {first: createFakePeer('h:10'), second: createFakePeer('h:11')} as const;
			for (const event of events) {
				const peer = peers[event.connection];
				switch (event.kind) {
					case 'attach': {
						await callMethod('worker.attach', {agent: 'agent-a', process: 'p'}, context, peer);
						break;
					}

					case 'renew': {
						await callMethod('worker.renew', {agent: 'agent-a', epoch: 1, snapshot: snapshotOf('a', {incarnation: event.incarnation})}, context, peer);
						break;
					}

					case 'close': {
						peer.close('closed by the peer');
					}
				}
			}

			expect(sent).to.deep.equal(messages);
			expect((['first', 'second'] as const).filter(connection => peers[connection].isOpen())).to.deep.equal(open);
		});
	}
});
