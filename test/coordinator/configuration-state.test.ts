import {expect} from 'chai';
import {
	initialConfigurationState, receiveConfigurationMessage, type ConfigurationMessage, type ConfigurationState,
} from '#coordinator';

const received = (version: number): ConfigurationMessage => ({kind: 'received', configuration: {version, queues: [], tenants: []}, source: 'store'});
const announced = (version: number, address = 'a:1'): ConfigurationMessage => ({kind: 'announced', version, address});

type Case = Readonly<{name: string; messages: readonly ConfigurationMessage[]; version: number; missed: ConfigurationState['missed']; effects: readonly unknown[]}>;

/** The messages arrive 100 ms apart, the first one at 0. */
const cases: readonly Case[] = [
	{
		name: 'an older version is ignored (configuration goes back)',
		messages: [received(5), received(4)],
		version: 5,
		missed: undefined,
		effects: [],
	},
	{
		name: 'a version that only another entry has is recorded with the time since when it is missed (entry does not know that it is behind)',
		messages: [received(5), announced(7), announced(9, 'b:1')],
		version: 5,
		missed: {version: 9, address: 'b:1', since: 100},
		effects: [{
			kind: 'missed', version: 9, current: 5, address: 'b:1',
		}],
	},
	{
		name: 'announcements of the same version are reported once (a log line with every exchange)',
		messages: [received(5), announced(7), announced(7, 'b:1')],
		version: 5,
		missed: {version: 7, address: 'b:1', since: 100},
		effects: [],
	},
	{
		name: 'an entry that received a version between is still behind (lag hidden by a part of the way)',
		messages: [received(5), announced(9), received(7)],
		version: 7,
		missed: {version: 9, address: 'a:1', since: 100},
		effects: [{
			kind: 'accepted', version: 7, earlier: 5, source: 'store', behindMilliseconds: 100,
		}],
	},
	{
		name: 'an entry that caught up is not behind (stale lag)',
		messages: [announced(7), received(7)],
		version: 7,
		missed: undefined,
		effects: [{
			kind: 'accepted', version: 7, earlier: undefined, source: 'store', behindMilliseconds: 100,
		}],
	},
	{
		name: 'an entry that stays behind fetches from the entry that announced the version last (no configuration while the store turns the entry away)',
		messages: [received(5), announced(7), ...Array.from({length: 5}, () => announced(7)), announced(7, 'b:1')],
		version: 5,
		missed: {version: 7, address: 'b:1', since: 100},
		effects: [{kind: 'fetch', address: 'b:1'}],
	},
	{
		name: 'an entry fetches one copy at a time (copies of every entry fill a slow link)',
		messages: [received(5), announced(7), ...Array.from({length: 6}, () => announced(7)), announced(7, 'b:1')],
		version: 5,
		missed: {version: 7, address: 'b:1', since: 100},
		effects: [],
	},
	{
		name: 'a fetch that failed is repeated (an entry stays behind for good)',
		messages: [received(5), announced(7), ...Array.from({length: 6}, () => announced(7)), {kind: 'fetch-ended'}, announced(7, 'b:1')],
		version: 5,
		missed: {version: 7, address: 'b:1', since: 100},
		effects: [{kind: 'fetch', address: 'b:1'}],
	},
	{
		name: 'an entry that is ahead of others misses nothing (fetch of an old version)',
		messages: [received(7), announced(5)],
		version: 7,
		missed: undefined,
		effects: [],
	},
];

describe('configuration of an entry', () => {
	for (const {name, messages, version, missed, effects} of cases) {
		it(name, () => {
			let state = initialConfigurationState;
			let last: readonly unknown[] = [];
			for (const [index, message] of messages.entries()) {
				({state, effects: last} = receiveConfigurationMessage(state, message, {now: 0, monotonic: index * 100}));
			}

			expect(state.current?.version).to.equal(version);
			expect(state.missed).to.deep.equal(missed);
			expect(last).to.deep.equal(effects);
		});
	}
});
