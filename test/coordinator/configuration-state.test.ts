import {expect} from 'chai';
import {
	findAnswerBasis, findShownVersion, findUpToDateEntry, initialConfigurationState, interpretReply, receiveConfigurationMessage, type ConfigurationMessage, type ConfigurationState,
	type ForwardOutcome,
} from '#coordinator';
import type {CallerRequest, ForwardedAnswer} from '#protocol';
import type {CallReply} from '#transport';

const received = (version: number): ConfigurationMessage => ({kind: 'received', configuration: {version, queues: [], tenants: []}, source: 'store'});
const announced = (version: number, address = 'a:1'): ConfigurationMessage => ({kind: 'announced', version, address});
const shown = (version: number, address = 'a:1'): ConfigurationMessage => ({kind: 'shown', version, address});

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
		name: 'a version that callers see through another entry is missed from then on (entry does not fetch what it has shown)',
		messages: [received(5), shown(7)],
		version: 5,
		missed: {version: 7, address: 'a:1', since: 100},
		effects: [
			{
				kind: 'missed', version: 7, current: 5, address: 'a:1',
			},
			{
				kind: 'shown', version: 7, current: 5, address: 'a:1',
			},
		],
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

type AnswerCase = Readonly<{name: string; messages: readonly ConfigurationMessage[]; basis: number | 'outdated' | 'no-configuration'; shownVersion: number; upToDateEntry: string | undefined}>;

/** The messages arrive 100 ms apart, and the caller 100 ms after the last one. */
const answerCases: readonly AnswerCase[] = [
	{
		name: 'an entry that is behind answers by its version while callers have seen no newer one (no answer although nothing contradicts it)',
		messages: [received(12), announced(14)],
		basis: 12,
		shownVersion: 12,
		upToDateEntry: undefined,
	},
	{
		name: 'an entry whose callers saw a newer version does not answer by its own (configuration goes back)',
		messages: [received(12), shown(14)],
		basis: 'outdated',
		shownVersion: 14,
		upToDateEntry: 'a:1',
	},
	{
		name: 'a version between does not suffice (configuration goes back by less)',
		messages: [received(12), shown(14), received(13)],
		basis: 'outdated',
		shownVersion: 14,
		upToDateEntry: 'a:1',
	},
	{
		name: 'an entry answers again once it has what callers saw (refused for good)',
		messages: [received(12), shown(14), received(14)],
		basis: 14,
		shownVersion: 14,
		upToDateEntry: undefined,
	},
	{
		name: 'a newer version than callers saw suffices, too (refused for good)',
		messages: [received(12), shown(14), received(17)],
		basis: 17,
		shownVersion: 17,
		upToDateEntry: undefined,
	},
	{
		name: 'an older version that another entry showed before changes nothing (shown version goes back)',
		messages: [received(12), shown(14), shown(13, 'b:1')],
		basis: 'outdated',
		shownVersion: 14,
		upToDateEntry: 'a:1',
	},
	{
		name: 'the entry that announced the version last answers callers (forwarded to an entry that is gone)',
		messages: [received(12), shown(14), announced(14, 'b:1')],
		basis: 'outdated',
		shownVersion: 14,
		upToDateEntry: 'b:1',
	},
	{
		name: 'an entry that is ahead of the one that showed a version answers by its own (refused without need)',
		messages: [received(14), shown(12)],
		basis: 14,
		shownVersion: 14,
		upToDateEntry: undefined,
	},
	{
		name: 'an entry without any configuration says so (refused for a wrong reason)',
		messages: [announced(14)],
		basis: 'no-configuration',
		shownVersion: 0,
		upToDateEntry: undefined,
	},
	{
		name: 'an entry without any configuration whose callers saw one lets other entries answer (configuration goes back)',
		messages: [shown(14)],
		basis: 'outdated',
		shownVersion: 14,
		upToDateEntry: 'a:1',
	},
];

describe('answers by the configuration of an entry', () => {
	for (const {name, messages, basis, shownVersion, upToDateEntry} of answerCases) {
		it(name, () => {
			let state = initialConfigurationState;
			for (const [index, message] of messages.entries()) {
				({state} = receiveConfigurationMessage(state, message, {now: 0, monotonic: index * 100}));
			}

			const found = findAnswerBasis(state);
			expect(found.kind === 'current' ? found.configuration.version : found.kind).to.equal(basis);
			expect(findShownVersion(state)).to.equal(shownVersion);
			expect(findUpToDateEntry(state, messages.length * 100)).to.equal(upToDateEntry);
		});
	}
});

const answered = (result: ForwardedAnswer): CallReply<ForwardedAnswer> => ({kind: 'answered', result});
const failed = (delivery: 'never-sent' | 'perhaps-sent'): CallReply<ForwardedAnswer> => ({
	kind: 'failed', delivery, reason: 'timeout', message: 'Request timeout',
});
const refused = {kind: 'refused', reason: 'store-unavailable', retryAfterMilliseconds: 1000} as const;
const undecided = {kind: 'undecided', reason: 'no answer in time'} as const;
const lostReply = {kind: 'undecided', reason: 'another entry did not answer'} as const;

type ReplyCase = Readonly<{name: string; reply: CallReply<ForwardedAnswer>; submit: ForwardOutcome; show: ForwardOutcome}>;

/** The calls name version 12. */
const replyCases: readonly ReplyCase[] = [
	{
		name: 'a newer configuration is recorded before its effect is shown (configuration goes back)',
		reply: answered({kind: 'other-configuration', version: 14}),
		submit: {kind: 'newer', version: 14},
		show: {kind: 'newer', version: 14},
	},
	{
		name: 'an entry with an older configuration is passed over (refused by an older configuration)',
		reply: answered({kind: 'other-configuration', version: 10}),
		submit: {kind: 'older'},
		show: {kind: 'older'},
	},
	{
		name: 'an answer by the named version is passed on (no answer)',
		reply: answered({kind: 'unknown-queue'}),
		submit: {kind: 'served', answer: {kind: 'unknown-queue'}},
		show: {kind: 'served', answer: {kind: 'unknown-queue'}},
	},
	{
		name: 'a refusal leaves the call to the next entry (refused although another entry serves it)',
		reply: answered(refused),
		submit: {kind: 'not-served'},
		show: {kind: 'not-served'},
	},
	{
		name: 'a submission of unknown outcome is not sent to the next entry (job runs after a refusal)',
		reply: answered(undecided),
		submit: {kind: 'undecided', answer: undecided},
		show: {kind: 'not-served'},
	},
	{
		name: 'a submission without a reply is not sent to the next entry (job runs after a refusal)',
		reply: failed('perhaps-sent'),
		submit: {kind: 'undecided', answer: lostReply},
		show: {kind: 'not-served'},
	},
	{
		name: 'a call that was never sent is left to the next entry (no answer although another entry serves it)',
		reply: failed('never-sent'),
		submit: {kind: 'not-served'},
		show: {kind: 'not-served'},
	},
];

describe('replies to forwarded calls', () => {
	const call: Omit<CallerRequest, 'action'> = {host: 'queue.example', path: '/urgent/', timeoutMilliseconds: 3000};
	for (const {name, reply, submit, show} of replyCases) {
		it(name, () => {
			expect(interpretReply(reply, {...call, action: {kind: 'submit', request: {specification: '', steps: []}}}, 12)).to.deep.equal(submit);
			expect(interpretReply(reply, {...call, action: {kind: 'show'}}, 12)).to.deep.equal(show);
		});
	}
});
