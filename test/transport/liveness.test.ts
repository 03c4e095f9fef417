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
		name: 'an idle connection that is silent for three report intervals is closed, though TCP reports no error',
		events: [tick(5500), tick(6000)],
		expected: ['schedule-tick', 'terminate'],
	},
	{
		name: 'a connection with an unanswered call is probed after a second of silence, not at every check',
		events: [{at: 100, message: {kind: 'call-sent'}}, tick(1000), tick(1500), tick(2000)],
		expected: ['schedule-tick', 'send-probe', 'schedule-tick', 'schedule-tick'],
	},
	{
		name: 'a connection that answers nothing for three probe intervals is closed while a call waits',
		events: [{at: 0, message: {kind: 'call-sent'}}, tick(3000)],
		expected: ['terminate'],
	},
	{
		name: 'a long call on a connection that answers probes is not cut off',
		events: [{at: 0, message: {kind: 'call-sent'}}, {at: 2900, message: {kind: 'received'}}, tick(3000)],
		expected: ['schedule-tick'],
	},
	{
		name: 'a call sent after a long idle time starts its own silence limit',
		events: [{at: 5000, message: {kind: 'call-sent'}}, tick(5500)],
		expected: ['schedule-tick'],
	},
	{
		name: 'a closed connection asks for no further ticks',
		events: [{at: 10, message: {kind: 'closed'}}, tick(500)],
		expected: [],
	},
];

describe('silence of a connection', () => {
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
