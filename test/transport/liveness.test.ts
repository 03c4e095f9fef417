import {expect} from 'chai';
import {
	createLivenessState, receiveLivenessMessage, type LivenessEffect, type LivenessMessage,
} from '#transport';

type Event = Readonly<{at: number; message: LivenessMessage}>;
type Case = Readonly<{name: string; events: readonly Event[]; expected: ReadonlyArray<LivenessEffect['kind']>}>;

const tick = (at: number): Event => ({at, message: {kind: 'tick'}});

const cases: readonly Case[] = [
	{
		name: 'an idle connection is not probed',
		events: [tick(500), tick(2500)],
		expected: ['schedule-tick', 'schedule-tick'],
	},
	{
		name: 'an idle connection without traffic for three report intervals is closed even if TCP reports no error',
		events: [tick(5500), tick(6000)],
		expected: ['schedule-tick', 'terminate'],
	},
	{
		name: 'a connection with an unanswered call is probed after one second without traffic, not at every check',
		events: [{at: 100, message: {kind: 'call-sent'}}, tick(1000), tick(1500), tick(2000)],
		expected: ['schedule-tick', 'send-probe', 'schedule-tick', 'schedule-tick'],
	},
	{
		name: 'a connection with an unanswered call and no traffic for three probe intervals is closed',
		events: [{at: 0, message: {kind: 'call-sent'}}, tick(3000)],
		expected: ['terminate'],
	},
	{
		name: 'a long call is not aborted while the connection answers probes',
		events: [{at: 0, message: {kind: 'call-sent'}}, {at: 2900, message: {kind: 'received'}}, tick(3000)],
		expected: ['schedule-tick'],
	},
	{
		name: 'a call after a long idle period starts a new receive timeout',
		events: [{at: 5000, message: {kind: 'call-sent'}}, tick(5500)],
		expected: ['schedule-tick'],
	},
	{
		name: 'a closed connection schedules no further checks',
		events: [{at: 10, message: {kind: 'closed'}}, tick(500)],
		expected: [],
	},
];

describe('connection liveness', () => {
	for (const {name, events, expected} of cases) {
		it(name, () => {
			const effects: LivenessEffect[] = [];
			let state = createLivenessState(0);
			for (const {at, message} of events) {
				const step = receiveLivenessMessage(state, message, {now: at, monotonic: at});
				state = step.state;
				effects.push(...step.effects);
			}

			expect(effects.map(({kind}) => kind)).to.deep.equal(expected);
		});
	}
});
