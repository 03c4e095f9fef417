import {expect} from 'chai';
import type {SchedulerMessage} from '#scheduling';
import {callMethod, createFakePeer, startSchedulingEntry} from '#test/support/scheduling-entry';
import {snapshotOf} from '#test/support/scheduling';

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

describe('connections of agents', () => {
	for (const {name, events, messages, open} of cases) {
		it(name, async () => {
			const sent: string[] = [];
			const context = startSchedulingEntry({
				send(message: SchedulerMessage) {
					sent.push(message.kind === 'renewed' ? message.snapshot?.incarnation ?? 'renewed' : message.kind);
				},
				read: () => undefined,
			});
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

	it('renewals name the process that opened their connection (acknowledgements of an earlier process forgotten)', async () => {
		const processes: Array<string | undefined> = [];
		const context = startSchedulingEntry({
			send(message: SchedulerMessage) {
				processes.push(message.kind === 'renewed' ? message.process : undefined);
			},
			read: () => undefined,
		});
		for (const process of ['p-1', 'p-2']) {
			const peer = createFakePeer(`h:${process}`);
			await callMethod('worker.attach', {agent: 'agent-a', process}, context, peer);
			await callMethod('worker.renew', {agent: 'agent-a', epoch: 1, snapshot: snapshotOf('a')}, context, peer);
		}

		expect(processes).to.deep.equal(['p-1', 'p-2']);
	});
});
