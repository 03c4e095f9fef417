import {expect} from 'chai';
import {
	createEntriesState, receiveEntriesMessage, type EntriesMessage, type EntriesState,
} from '../../packages/agent/entries';
import {maximumDialFailures, maximumEntries} from '../../packages/agent/constants';
import {receiveSliceMessage, type SliceState} from '../../packages/agent/slice';
import {
	createRandomSource, hashText, type EntryId, type PlanName, type WorkerId,
} from '#core';
import type {Slice} from '#protocol';
import type {RpcPeer} from '#transport';

const seed = '10.0.0.1:8081';
const learned = Array.from({length: 9}, (_, index) => ({entry: `entry-${index + 2}` as EntryId, address: `10.0.0.${index + 2}:8081`}));

/** Connections are only compared here, never called. */
const createPeer = (address: string) => ({address}) as unknown as RpcPeer;

function play(worker: string, messages: readonly EntriesMessage[]) {
	const random = createRandomSource(hashText(worker));
	let state: EntriesState = createEntriesState(worker as WorkerId, [seed]);
	const effects = messages.flatMap(message => {
		const step = receiveEntriesMessage(state, message, random);
		state = step.state;
		return step.effects;
	});
	return {state, effects};
}

const first = createPeer(seed);
const second = createPeer('10.0.0.2:8081');

type Case = Readonly<{name: string; observe: () => unknown; expected: unknown}>;

const cases: readonly Case[] = [
	{
		name: 'the agents of a zone that returns dial again at the same moment',
		observe() {
			const delays = Array.from({length: 200}, (_, index) => play(`worker-${index}`, [{kind: 'start'}, {kind: 'dial-failed', address: seed}]).effects)
				.flat().flatMap(effect => effect.kind === 'schedule-redial' ? [effect.delay] : []);
			const quarters = [0, 1, 2, 3].map(quarter => delays.filter(delay => Math.floor(delay / 125) === quarter).length);
			return quarters.every(count => count >= 30 && count <= 70);
		},
		expected: true,
	},
	{
		name: 'an agent connects to every entry that it hears of',
		observe: () => play('worker-1', [{kind: 'start'}, {kind: 'entries-learned', entries: learned}]).state.connections.size,
		expected: maximumEntries,
	},
	{
		name: 'all agents choose the same entries of those they hear of',
		observe: () => new Set(Array.from({length: 50}, (_, index) => play(`worker-${index}`, [{kind: 'entries-learned', entries: learned}]).state)
			.flatMap(state => [...state.connections.keys()])).size,
		expected: learned.length + 1,
	},
	{
		name: 'an entry under two addresses counts the agent twice',
		observe: () => play('worker-1', [
			{kind: 'opened', address: seed, peer: first},
			{
				kind: 'announced', address: seed, peer: first, entry: 'entry-1' as EntryId,
			},
			{kind: 'entries-learned', entries: [{entry: 'entry-2' as EntryId, address: second.address}]},
			{kind: 'opened', address: second.address, peer: second},
			{
				kind: 'announced', address: second.address, peer: second, entry: 'entry-1' as EntryId,
			},
		]).effects.filter(({kind}) => kind === 'close').length,
		expected: 1,
	},
	{
		name: 'the late end of a former connection closes the present one',
		observe: () => play('worker-1', [
			{kind: 'opened', address: seed, peer: first}, {kind: 'closed', address: seed, peer: createPeer(seed)},
		]).state.connections.get(seed)?.phase.kind,
		expected: 'announcing',
	},
	{
		name: 'an entry that is gone for good is dialled for ever, or one from the settings is forgotten',
		observe: () => [...play('worker-1', [
			{kind: 'entries-learned', entries: learned.slice(0, 1)},
			...Array.from({length: maximumDialFailures}, (): readonly EntriesMessage[] => [
				{kind: 'dial-failed', address: seed}, {kind: 'dial-failed', address: learned[0]?.address ?? ''},
			]).flat(),
		]).state.connections.keys()],
		expected: [seed],
	},
	{
		name: 'a connection that opens while the agent leaves gets no notice of it',
		observe: () => play('worker-1', [
			{kind: 'leave'},
			{kind: 'opened', address: seed, peer: first},
			{
				kind: 'announced', address: seed, peer: first, entry: 'entry-1' as EntryId,
			},
		]).effects.filter(({kind}) => kind === 'say-leaving').length,
		expected: 1,
	},
	{
		name: 'a slice of a lower revision replaces the present one, in whole or in part',
		observe() {
			const createSlice = (configurationRevision: number, layoutRevision: number): Slice => ({
				configurationRevision, layoutRevision, cells: [{plan: `cell-${layoutRevision}` as PlanName, accelerators: [0]}], plans: [{
					plan: `plan-${configurationRevision}` as PlanName, weight: 1, maximumSlots: 1, maximumQueued: 1,
				}],
			});
			const {current} = [createSlice(5, 5), createSlice(4, 4), createSlice(6, 4), createSlice(5, 7)]
				.reduce((state: SliceState, slice) => receiveSliceMessage(state, {kind: 'received', slice}).state, {current: undefined});
			return [current?.configurationRevision, current?.plans[0]?.plan, current?.layoutRevision, current?.cells[0]?.plan];
		},
		expected: [6, 'plan-6', 7, 'cell-7'],
	},
];

describe('agent\'s connections to entries', () => {
	for (const {name, observe, expected} of cases) {
		it(name, () => {
			expect(observe()).to.deep.equal(expected);
		});
	}
});
