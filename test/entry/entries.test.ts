import {expect} from 'chai';
import * as valibot from 'valibot';
import type {EntryId} from '#core';
import {entryRecordSchema, type EntryRecord} from '#protocol';
import type {RpcPeer} from '#transport';
import {
	createEntriesState, receiveEntriesMessage, type EntriesEffect, type EntriesMessage, type EntriesState,
} from '#entry';

const record = (name: string, port = 1): EntryRecord => valibot.parse(entryRecordSchema, {
	entry: name, region: 'north', zone: 'north-a', peerAddress: `${name}:${port}`, callerAddress: `${name}:2`,
});

/** A minimal peer: the decisions only compare connections and check whether they are open. */
const peer = (address: string) => ({address, isOpen: () => true}) as unknown as RpcPeer;

const inbound = peer('inbound');
const outbound = peer('outbound');
const listening: EntriesMessage = {kind: 'listening', self: record('b')};
const exchanged = (name: string, connection: RpcPeer, dialledBy: string): Extract<EntriesMessage, {kind: 'exchanged'}> => ({
	kind: 'exchanged',
	record: record(name),
	dialledAddress: undefined,
	link: {
		peer: connection, dialledBy: dialledBy as EntryId, configurationRevision: 0, summary: undefined,
	},
});

type Case = Readonly<{
	name: string;
	messages: ReadonlyArray<EntriesMessage | Readonly<{kind: 'wait'; milliseconds: number}>>;
	/** Addresses dialled by the last message. */
	dialled?: readonly string[];
	/** Connections closed by the last message. */
	closed?: readonly RpcPeer[];
	known?: readonly string[];
}>;

const cases: readonly Case[] = [
	{
		name: 'an entry that is not listening yet dials no peers (a wrong own address sent to peers)',
		messages: [{kind: 'registered', record: record('a')}, {kind: 'tick'}],
		dialled: [],
	},
	{
		name: 'seeds and registered entries are dialled, except the entry itself',
		messages: [{kind: 'listed', records: [record('a'), record('b')]}, listening],
		dialled: ['seed:1', 'a:1'],
	},
	{
		name: 'an address is not dialled twice at the same time, and an unreachable one only after its backoff (dialling storm)',
		messages: [listening, {kind: 'dial-failed', address: 'seed:1'}, {kind: 'wait', milliseconds: 1000}, {kind: 'tick'}],
		dialled: [],
	},
	{
		name: 'an unreachable address is dialled again after its backoff (entry that is never reconnected)',
		messages: [listening, {kind: 'dial-failed', address: 'seed:1'}, {kind: 'wait', milliseconds: 2000}, {kind: 'tick'}],
		dialled: ['seed:1'],
	},
	{
		name: 'two connections between two entries: the one that the lower name opened is retained, if it is the second',
		messages: [listening, exchanged('a', outbound, 'b'), exchanged('a', inbound, 'a')],
		closed: [outbound],
	},
	{
		name: 'two connections between two entries: the same one is retained in the other order (both sides closing a different one)',
		messages: [listening, exchanged('a', inbound, 'a'), exchanged('a', outbound, 'b')],
		closed: [outbound],
	},
	{
		name: 'a seed that is the address of this entry is removed (entry that dials itself at every tick)',
		messages: [listening, {kind: 'dialled-self', address: 'seed:1'}, {kind: 'tick'}],
		dialled: [],
	},
	{
		name: 'an entry connected through a seed is not dialled again under that address (connection replaced at every tick)',
		messages: [listening, {...exchanged('a', outbound, 'b'), dialledAddress: 'seed:1'}, {kind: 'tick'}],
		dialled: [],
	},
	{
		name: 'a connected entry whose lease expired during an outage is retained',
		messages: [listening, {kind: 'listed', records: [record('a')]}, exchanged('a', inbound, 'a'), {kind: 'deregistered', entry: 'a' as EntryId}],
		known: ['a'],
	},
	{
		name: 'an entry that is neither registered nor connected is removed (agents sent to an unreachable address)',
		messages: [
			listening, {kind: 'listed', records: [record('a')]}, exchanged('a', inbound, 'a'), {kind: 'deregistered', entry: 'a' as EntryId}, {kind: 'disconnected', peer: inbound},
		],
		known: [],
	},
	{
		name: 'until the store has been read, a disconnected entry is dialled again',
		messages: [listening, exchanged('a', inbound, 'a'), {kind: 'disconnected', peer: inbound}, {kind: 'tick'}],
		dialled: ['a:1'],
		known: ['a'],
	},
	{
		name: 'a record from a third entry does not replace the one from the entry itself (old address after a restart)',
		messages: [listening, exchanged('a', inbound, 'a'), {kind: 'discovered', records: [record('a', 9), record('c')]}, {kind: 'tick'}],
		dialled: ['c:1'],
	},
];

describe('connections between entries', () => {
	for (const {name, messages, dialled, closed, known} of cases) {
		it(name, () => {
			let state: EntriesState = createEntriesState(['seed:1']);
			let effects: readonly EntriesEffect[] = [];
			let monotonic = 0;
			for (const message of messages) {
				if (message.kind === 'wait') {
					monotonic += message.milliseconds;
				} else {
					({state, effects} = receiveEntriesMessage(state, message, {now: 0, monotonic}));
				}
			}

			expect(effects.flatMap(effect => effect.kind === 'dial' ? [effect.address] : [])).to.deep.equal(dialled ?? []);
			expect(effects.flatMap(effect => effect.kind === 'close' ? [effect.peer] : [])).to.deep.equal(closed ?? []);
			expect([...state.records.keys()]).to.deep.equal(known ?? [...state.records.keys()]);
		});
	}
});
