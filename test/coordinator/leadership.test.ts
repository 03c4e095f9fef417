import {expect} from 'chai';
import type {EntryId} from '#core';
import {
	createLeadershipState, receiveLeadershipMessage, type LeadershipEffect, type LeadershipMessage,
} from '#coordinator';

const self = 'entry-a' as EntryId;
const other = 'entry-b' as EntryId;
const address = 'h:1';

function createLeader(entry: EntryId, epoch: number, version: number, {lease = '1', host = 'h'} = {}) {
	return {
		value: {
			entry, epoch, address: `${host}:1`, lease,
		}, version,
	};
}

function applyMessages(messages: readonly LeadershipMessage[]) {
	let state = createLeadershipState(self, address);
	const effects: LeadershipEffect[] = [];
	for (const message of messages) {
		const step = receiveLeadershipMessage(state, message);
		state = step.state;
		effects.push(...step.effects);
	}

	return {state, kinds: effects.map(({kind}) => kind), effects};
}

const lease: LeadershipMessage = {kind: 'lease-changed', lease: '1'};
const noLeader: LeadershipMessage = {kind: 'observed', leader: undefined, epoch: {value: 4, version: 9}};
const won: LeadershipMessage = {
	kind: 'election-ended', outcome: 'won', lease: '1', epoch: 5, version: 12,
};
const ownRecord: LeadershipMessage = {kind: 'observed', leader: createLeader(self, 5, 12), epoch: {value: 5, version: 12}};

type Case = Readonly<{name: string; messages: readonly LeadershipMessage[]; kinds: ReadonlyArray<LeadershipEffect['kind']>}>;

const cases: readonly Case[] = [
	{name: 'no election before the store was read (two schedulers)', messages: [lease], kinds: []},
	{name: 'no election without a lease (term that never ends)', messages: [noLeader], kinds: []},
	{name: 'an entry with a lease schedules an election while there is no leader (no scheduler after a failure)', messages: [lease, noLeader], kinds: ['schedule-election']},
	{name: 'only one election is scheduled at a time (elections that conflict with each other)', messages: [lease, noLeader, noLeader], kinds: ['schedule-election']},
	{
		name: 'an election that is due after another entry has won is skipped (two schedulers)',
		messages: [lease, noLeader, {kind: 'observed', leader: createLeader(other, 5, 11), epoch: {value: 5, version: 11}}, {kind: 'election-due'}],
		kinds: ['schedule-election'],
	},
	{name: 'a won election begins a term (elected entry that does not schedule)', messages: [lease, noLeader, {kind: 'election-due'}, won], kinds: ['schedule-election', 'elect', 'lead']},
	{
		name: 'an observation from before the election does not end the term (term that ends as soon as it began)',
		messages: [lease, noLeader, {kind: 'election-due'}, won, noLeader],
		kinds: ['schedule-election', 'elect', 'lead'],
	},
	{
		name: 'an election with a lost reply counts as won once the store shows it (elected entry that does not schedule)',
		messages: [lease, noLeader, {kind: 'election-due'}, {kind: 'observed', leader: createLeader(self, 5, 12), epoch: {value: 5, version: 12}}],
		kinds: ['schedule-election', 'elect', 'lead'],
	},
	{
		name: 'a term ends when its lease ended in the store, and a new election follows (scheduler that continues after an outage)',
		messages: [lease, noLeader, {kind: 'election-due'}, won, {kind: 'observed', leader: createLeader(self, 5, 12), epoch: {value: 5, version: 12}}, noLeader],
		kinds: ['schedule-election', 'elect', 'lead', 'step-down', 'schedule-election'],
	},
	{
		name: 'a term ends with the lease of its record, although the watch still shows the record (orders of a replaced scheduler after a pause)',
		messages: [lease, noLeader, {kind: 'election-due'}, won, ownRecord, {kind: 'lease-changed', lease: undefined}, {kind: 'lease-changed', lease: '2'}],
		kinds: ['schedule-election', 'elect', 'lead', 'step-down', 'schedule-election'],
	},
	{
		name: 'a term does not go on under a lease that replaced the one of its record (permission of an ended lease in use)',
		messages: [lease, noLeader, {kind: 'election-due'}, won, ownRecord, {kind: 'lease-changed', lease: '2'}],
		kinds: ['schedule-election', 'elect', 'lead', 'step-down', 'schedule-election'],
	},
	{
		name: 'an election that was won under an ended lease begins no term (scheduler without a record)',
		messages: [lease, noLeader, {kind: 'election-due'}, {kind: 'lease-changed', lease: '2'}, won],
		kinds: ['schedule-election', 'elect', 'schedule-election'],
	},
	{
		name: 'a term ends when a higher epoch is observed (scheduler cut off from the store)',
		messages: [lease, noLeader, {kind: 'election-due'}, won, {kind: 'epoch-observed', epoch: 6}],
		kinds: ['schedule-election', 'elect', 'lead', 'step-down'],
	},
	{
		name: 'a stopping entry does not campaign again (scheduler that stops just after its election)',
		messages: [lease, noLeader, {kind: 'election-due'}, won, {kind: 'resign'}, noLeader],
		kinds: ['schedule-election', 'elect', 'lead', 'step-down'],
	},
	{
		name: 'a leader record of an earlier process at this address is replaced by an election, not taken as its own (orders under an epoch whose lease nobody renews)',
		messages: [lease, {kind: 'observed', leader: createLeader(self, 4, 8, {lease: '0'}), epoch: {value: 4, version: 8}}, {kind: 'election-due'}],
		kinds: ['schedule-election', 'elect'],
	},
	{
		name: 'a leader record of this name at another address stands until its lease ends (a living process deposed)',
		messages: [lease, {kind: 'observed', leader: createLeader(self, 4, 8, {lease: '0', host: 'g'}), epoch: {value: 4, version: 8}}],
		kinds: [],
	},
	{
		name: 'a term that is handed over ends before another entry is asked to begin one (both send orders)',
		messages: [lease, noLeader, {kind: 'election-due'}, won, {kind: 'hand-over', reason: 'the store does not answer'}],
		kinds: ['schedule-election', 'elect', 'lead', 'step-down', 'offer-term', 'retry-later'],
	},
	{
		name: 'an entry that handed its term over does not resume it while its record still stands (run numbers of one epoch used twice)',
		messages: [
			lease,
			noLeader,
			{kind: 'election-due'},
			won,
			{kind: 'hand-over', reason: 'the store does not answer'},
			{kind: 'observed', leader: createLeader(self, 5, 12), epoch: {value: 5, version: 12}},
		],
		kinds: ['schedule-election', 'elect', 'lead', 'step-down', 'offer-term', 'retry-later'],
	},
	{
		name: 'a term that a higher epoch ended is not resumed (run numbers of one epoch used twice)',
		messages: [lease, noLeader, {kind: 'election-due'}, won, {kind: 'epoch-observed', epoch: 6}, {kind: 'observed', leader: createLeader(self, 5, 12), epoch: {value: 5, version: 12}}],
		kinds: ['schedule-election', 'elect', 'lead', 'step-down', 'schedule-election'],
	},
	{
		name: 'the reply of an election that arrives after its term was handed over does not resume it (run numbers of one epoch used twice)',
		messages: [lease, noLeader, {kind: 'election-due'}, ownRecord, {kind: 'hand-over', reason: 'the store does not answer'}, won],
		kinds: ['schedule-election', 'elect', 'lead', 'step-down', 'offer-term', 'retry-later'],
	},
	{
		name: 'the reply of an election that arrives after a higher epoch was observed begins no term (orders of a replaced scheduler)',
		messages: [lease, noLeader, {kind: 'election-due'}, {kind: 'epoch-observed', epoch: 6}, won],
		kinds: ['schedule-election', 'elect', 'retry-later'],
	},
	{
		name: 'an own record below an observed epoch begins no term (orders of a replaced scheduler)',
		messages: [lease, noLeader, {kind: 'election-due'}, {kind: 'epoch-observed', epoch: 6}, ownRecord],
		kinds: ['schedule-election', 'elect', 'schedule-election'],
	},
	{
		name: 'an entry whose offer nobody takes campaigns again without a further observation (nobody schedules while its lease is renewed)',
		messages: [lease, noLeader, {kind: 'election-due'}, won, ownRecord, {kind: 'hand-over', reason: 'the store does not answer'}, {kind: 'election-due'}],
		kinds: ['schedule-election', 'elect', 'lead', 'step-down', 'offer-term', 'retry-later', 'elect'],
	},
	{
		name: 'an entry whose offer was taken does not campaign (two schedulers)',
		messages: [
			lease,
			noLeader,
			{kind: 'election-due'},
			won,
			ownRecord,
			{kind: 'hand-over', reason: 'the store does not answer'},
			{kind: 'observed', leader: createLeader(other, 6, 13), epoch: {value: 6, version: 13}},
			{kind: 'election-due'},
		],
		kinds: ['schedule-election', 'elect', 'lead', 'step-down', 'offer-term', 'retry-later'],
	},
	{
		name: 'an entry without a term has none to hand over (term of another entry replaced)',
		messages: [lease, {kind: 'observed', leader: createLeader(other, 5, 11), epoch: {value: 5, version: 11}}, {kind: 'hand-over', reason: 'the store does not answer'}],
		kinds: [],
	},
	{
		name: 'an offered term is taken over at once (work waits until the lease of the last scheduler ends)',
		messages: [lease, {kind: 'observed', leader: createLeader(other, 5, 11), epoch: {value: 5, version: 11}}, {kind: 'offered', epoch: 5, leaderVersion: 11}],
		kinds: ['elect'],
	},
	{
		name: 'a stopping entry or one without a lease takes no offered term (term that ends as soon as it began)',
		messages: [{kind: 'observed', leader: createLeader(other, 5, 11), epoch: {value: 5, version: 11}}, {kind: 'offered', epoch: 5, leaderVersion: 11}],
		kinds: [],
	},
];

describe('leader election', () => {
	for (const {name, messages, kinds} of cases) {
		it(name, () => {
			expect(applyMessages(messages).kinds).to.deep.equal(kinds);
		});
	}

	it('an election uses an epoch above every observed one (fencing token used twice)', () => {
		const {effects} = applyMessages([lease, {kind: 'epoch-observed', epoch: 8}, noLeader, {kind: 'election-due'}]);
		expect(effects.at(-1)).to.include({kind: 'elect', epoch: 9, epochVersion: 9});
	});

	const replacements: ReadonlyArray<Readonly<{name: string; messages: readonly LeadershipMessage[]}>> = [
		{
			name: 'an offered term is replaced on the condition that its record is unchanged (two schedulers after a second hand-over)',
			messages: [lease, {kind: 'observed', leader: createLeader(other, 5, 11), epoch: {value: 5, version: 9}}, {kind: 'offered', epoch: 5, leaderVersion: 11}],
		},
		{
			name: 'the record of an earlier process is replaced on the condition that it is unchanged (two schedulers after a restart)',
			messages: [lease, {kind: 'observed', leader: createLeader(self, 5, 11, {lease: '0'}), epoch: {value: 5, version: 9}}, {kind: 'election-due'}],
		},
	];
	for (const {name, messages} of replacements) {
		it(name, () => {
			expect(applyMessages(messages).effects.at(-1)).to.include({
				kind: 'elect', epoch: 6, epochVersion: 9, leaderVersion: 11,
			});
		});
	}
});
