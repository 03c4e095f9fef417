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
const discovered = Array.from({length: 9}, (_, index) => ({entry: `entry-${index + 2}` as EntryId, address: `10.0.0.${index + 2}:8081`}));

/** Creates a placeholder connection, which is compared but never called. */
const createPeer = (address: string) => ({address}) as unknown as RpcPeer;

function simulate(worker: string, messages: readonly EntriesMessage[]) {
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
		name: 'the agents of a recovered zone redial at the same time',
		observe() {
			const delays = Array.from({length: 200}, (_, index) => simulate(`worker-${index}`, [{kind: 'start'}, {kind: 'dial-failed', address: seed}]).effects)
				.flat().flatMap(effect => effect.kind === 'schedule-redial' ? [effect.delay] : []);
			const quarters = [0, 1, 2, 3].map(quarter => delays.filter(delay => Math.floor(delay / 125) === quarter).length);
			return quarters.every(count => count >= 30 && count <= 70);
		},
		expected: true,
	},
	{
		name: 'an agent connects to every discovered entry',
		observe: () => simulate('worker-1', [{kind: 'start'}, {kind: 'entries-discovered', entries: discovered}]).state.connections.size,
		expected: maximumEntries,
	},
	{
		name: 'all agents choose the same discovered entries',
		observe: () => new Set(Array.from({length: 50}, (_, index) => simulate(`worker-${index}`, [{kind: 'entries-discovered', entries: discovered}]).state)
			.flatMap(state => [...state.connections.keys()])).size,
		expected: discovered.length + 1,
	},
	{
		name: 'an entry with two addresses counts the agent twice',
		observe: () => simulate('worker-1', [
			{kind: 'opened', address: seed, peer: first},
			{
				kind: 'announced', address: seed, peer: first, entry: 'entry-1' as EntryId,
			},
			{kind: 'entries-discovered', entries: [{entry: 'entry-2' as EntryId, address: second.address}]},
			{kind: 'opened', address: second.address, peer: second},
			{
				kind: 'announced', address: second.address, peer: second, entry: 'entry-1' as EntryId,
			},
		]).effects.filter(({kind}) => kind === 'close').length,
		expected: 1,
	},
	{
		name: 'a late close event of an earlier connection closes the current one',
		observe: () => simulate('worker-1', [
			{kind: 'opened', address: seed, peer: first}, {kind: 'closed', address: seed, peer: createPeer(seed)},
		]).state.connections.get(seed)?.phase.kind,
		expected: 'announcing',
	},
	{
		name: 'an unreachable entry is redialled forever, or an entry from the settings is dropped',
		observe: () => [...simulate('worker-1', [
			{kind: 'entries-discovered', entries: discovered.slice(0, 1)},
			...Array.from({length: maximumDialFailures}, (): readonly EntriesMessage[] => [
				{kind: 'dial-failed', address: seed}, {kind: 'dial-failed', address: discovered[0]?.address ?? ''},
			]).flat(),
		]).state.connections.keys()],
		expected: [seed],
	},
	{
		name: 'a connection that opens while the agent is leaving is not notified of it',
		observe: () => simulate('worker-1', [
			{kind: 'leave'},
			{kind: 'opened', address: seed, peer: first},
			{
				kind: 'announced', address: seed, peer: first, entry: 'entry-1' as EntryId,
			},
		]).effects.filter(({kind}) => kind === 'announce-leaving').length,
		expected: 1,
	},
	{
		name: 'a slice with a lower revision replaces the current one entirely or in part',
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

describe('connections of an agent to entries: prevented failures', () => {
	for (const {name, observe, expected} of cases) {
		it(name, () => {
			expect(observe()).to.deep.equal(expected);
		});
	}
});
