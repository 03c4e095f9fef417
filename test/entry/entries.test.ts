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

/** The decisions only compare connections and ask whether they are open. */
const peer = (address: string) => ({address, isOpen: () => true}) as unknown as RpcPeer;

const inbound = peer('inbound');
const outbound = peer('outbound');
const listening: EntriesMessage = {kind: 'listening', self: record('b')};
const heard = (name: string, connection: RpcPeer, dialledBy: string): Extract<EntriesMessage, {kind: 'heard'}> => ({
	kind: 'heard',
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
		name: 'an entry that does not listen yet dials nobody (peers told a wrong address)',
		messages: [{kind: 'registered', record: record('a')}, {kind: 'tick'}],
		dialled: [],
	},
	{
		name: 'seeds and registered entries are dialled, itself excepted',
		messages: [{kind: 'listed', records: [record('a'), record('b')]}, listening],
		dialled: ['seed:1', 'a:1'],
	},
	{
		name: 'an address is not dialled twice at the same time, and a dead one only after its delay (dialling storm)',
		messages: [listening, {kind: 'dial-failed', address: 'seed:1'}, {kind: 'wait', milliseconds: 1000}, {kind: 'tick'}],
		dialled: [],
	},
	{
		name: 'a dead address is dialled again after its delay (entry that never comes back)',
		messages: [listening, {kind: 'dial-failed', address: 'seed:1'}, {kind: 'wait', milliseconds: 2000}, {kind: 'tick'}],
		dialled: ['seed:1'],
	},
	{
		name: 'two connections between two entries: the one that the lower name opened stays, wherever it came first',
		messages: [listening, heard('a', outbound, 'b'), heard('a', inbound, 'a')],
		closed: [outbound],
	},
	{
		name: 'two connections between two entries: the same one stays in the other order (both sides closing a different one)',
		messages: [listening, heard('a', inbound, 'a'), heard('a', outbound, 'b')],
		closed: [outbound],
	},
	{
		name: 'a seed that is this entry itself is dropped',
		messages: [listening, {kind: 'dialled-self', address: 'seed:1'}, {kind: 'tick'}],
		dialled: [],
	},
	{
		name: 'an entry connected through a seed is not dialled again under that address (connection replaced at every tick)',
		messages: [listening, {...heard('a', outbound, 'b'), dialledAddress: 'seed:1'}, {kind: 'tick'}],
		dialled: [],
	},
	{
		name: 'a connected entry whose lease lapsed in an outage stays known',
		messages: [listening, {kind: 'listed', records: [record('a')]}, heard('a', inbound, 'a'), {kind: 'deregistered', entry: 'a' as EntryId}],
		known: ['a'],
	},
	{
		name: 'an entry that is neither registered nor connected is forgotten (agents sent to a dead address)',
		messages: [
			listening, {kind: 'listed', records: [record('a')]}, heard('a', inbound, 'a'), {kind: 'deregistered', entry: 'a' as EntryId}, {kind: 'lost', peer: inbound},
		],
		known: [],
	},
	{
		name: 'while the store was never read, a lost entry is dialled again',
		messages: [listening, heard('a', inbound, 'a'), {kind: 'lost', peer: inbound}, {kind: 'tick'}],
		dialled: ['a:1'],
		known: ['a'],
	},
	{
		name: 'what a third entry says does not replace what the entry itself said (old address after a restart)',
		messages: [listening, heard('a', inbound, 'a'), {kind: 'learnt', records: [record('a', 9), record('c')]}, {kind: 'tick'}],
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
