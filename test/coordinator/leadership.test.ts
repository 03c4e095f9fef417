import {expect} from 'chai';
import type {EntryId} from '#core';
import {
	createLeadershipState, receiveLeadershipMessage, type LeadershipEffect, type LeadershipMessage,
} from '#coordinator';

const self = 'entry-a' as EntryId;
const other = 'entry-b' as EntryId;

function leaderOf(entry: EntryId, epoch: number, version: number, lease = '1') {
	return {
		value: {
			entry, epoch, address: 'h:1', lease,
		}, version,
	};
}

function drive(messages: readonly LeadershipMessage[]) {
	let state = createLeadershipState(self);
	const effects: LeadershipEffect[] = [];
	for (const message of messages) {
		const step = receiveLeadershipMessage(state, message);
		state = step.state;
		effects.push(...step.effects);
	}

	return {state, kinds: effects.map(({kind}) => kind), effects};
}

const lease: LeadershipMessage = {kind: 'lease-changed', lease: '1'};
const nobody: LeadershipMessage = {kind: 'observed', leader: undefined, epoch: {value: 4, version: 9}};
const won: LeadershipMessage = {
	kind: 'election-ended', outcome: 'won', epoch: 5, version: 12,
};

type Case = Readonly<{name: string; messages: readonly LeadershipMessage[]; kinds: ReadonlyArray<LeadershipEffect['kind']>}>;

const cases: readonly Case[] = [
	{name: 'no election before the store was read (two schedulers)', messages: [lease], kinds: []},
	{name: 'no election without a lease (term that nothing ends)', messages: [nobody], kinds: []},
	{name: 'an entry with a lease stands when nobody schedules', messages: [lease, nobody], kinds: ['schedule-election']},
	{name: 'one election at a time', messages: [lease, nobody, nobody], kinds: ['schedule-election']},
	{
		name: 'an election that came too late is dropped',
		messages: [lease, nobody, {kind: 'observed', leader: leaderOf(other, 5, 11), epoch: {value: 5, version: 11}}, {kind: 'election-due'}],
		kinds: ['schedule-election'],
	},
	{name: 'a won election begins a term', messages: [lease, nobody, {kind: 'election-due'}, won], kinds: ['schedule-election', 'elect', 'lead']},
	{
		name: 'an observation from before the election does not end the term',
		messages: [lease, nobody, {kind: 'election-due'}, won, nobody],
		kinds: ['schedule-election', 'elect', 'lead'],
	},
	{
		name: 'an election whose answer was lost is won when the store shows it',
		messages: [lease, nobody, {kind: 'election-due'}, {kind: 'observed', leader: leaderOf(self, 5, 12), epoch: {value: 5, version: 12}}],
		kinds: ['schedule-election', 'elect', 'lead'],
	},
	{
		name: 'a term ends when the lease was lost in the store, and a new election follows (scheduler after an outage)',
		messages: [lease, nobody, {kind: 'election-due'}, won, {kind: 'observed', leader: leaderOf(self, 5, 12), epoch: {value: 5, version: 12}}, nobody],
		kinds: ['schedule-election', 'elect', 'lead', 'step-down', 'schedule-election'],
	},
	{
		name: 'a term ends when a higher epoch is heard of (scheduler cut off from the store)',
		messages: [lease, nobody, {kind: 'election-due'}, won, {kind: 'epoch-heard', epoch: 6}],
		kinds: ['schedule-election', 'elect', 'lead', 'step-down'],
	},
	{
		name: 'an entry that stops does not stand again',
		messages: [lease, nobody, {kind: 'election-due'}, won, {kind: 'resign'}, nobody],
		kinds: ['schedule-election', 'elect', 'lead', 'step-down'],
	},
	{
		name: 'a record of an earlier process of this entry is not its own (lease of another life)',
		messages: [lease, {kind: 'observed', leader: leaderOf(self, 4, 8, '0'), epoch: {value: 4, version: 8}}],
		kinds: [],
	},
];

describe('election of the scheduling entry', () => {
	for (const {name, messages, kinds} of cases) {
		it(name, () => {
			expect(drive(messages).kinds).to.deep.equal(kinds);
		});
	}

	it('an epoch is higher than any that was heard of (fencing token used twice)', () => {
		const {effects} = drive([lease, {kind: 'epoch-heard', epoch: 8}, nobody, {kind: 'election-due'}]);
		expect(effects.at(-1)).to.include({kind: 'elect', epoch: 9, epochVersion: 9});
	});
});
