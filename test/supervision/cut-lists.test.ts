/** An agent says whether its worker may have ended runs that it does not list (task that is done runs again). */
import {expect} from 'chai';
import type {EndedRun, ListedEnds} from '#jobs';
import {describeWorker, type SupervisionMessage} from '#supervision';
import {
	announcement, applyMessages, buildExtension, task,
} from '#test/support/supervision';

const done: EndedRun = {
	number: 1, task, run: 1, ending: 'done', checkpoint: '',
};

const announced: SupervisionMessage = {kind: 'announced', announcement: announcement()};
const raised: SupervisionMessage = {kind: 'epoch-raised', epoch: 1};
const noted: SupervisionMessage = {
	kind: 'granted', epoch: 1, sentAt: 0, validity: 7500, incarnation: '100', notedEnd: 1, reported: undefined,
};

function listed(ended: ListedEnds, clock = 51_000): SupervisionMessage {
	return {
		kind: 'extension-answered', extension: buildExtension(), result: {
			kind: 'answered', incarnation: '100', clock, running: [], ended,
		},
	};
}

type Case = Readonly<{
	name: string;
	messages: readonly SupervisionMessage[];
	/** What the agent reports; undefined if it reports no worker. */
	report: Readonly<{ends: number; areEndsCut: boolean}> | undefined;
	/** Whether it reports the last message at once. */
	isReported?: boolean;
}>;

const cases: readonly Case[] = [
	{name: 'a worker that has not listed its runs is not reported', messages: [announced, raised], report: undefined},
	{name: 'a whole list is reported as such', messages: [announced, raised, listed({kind: 'whole', ends: [done]})], report: {ends: 1, areEndsCut: false}},
	{name: 'a cut list is reported as such', messages: [announced, raised, listed({kind: 'cut', ends: [done]})], report: {ends: 1, areEndsCut: true}},
	{
		name: 'a list stays cut once its ends are acknowledged, until the worker has listed the others',
		messages: [announced, raised, listed({kind: 'cut', ends: [done]}), noted, listed({kind: 'cut', ends: [done]}, 51_001)],
		report: {ends: 0, areEndsCut: true},
	},
	{
		name: 'the next list that is whole is reported at once, also without a further end',
		messages: [announced, raised, listed({kind: 'cut', ends: [done]}), noted, listed({kind: 'whole', ends: []}, 51_001)],
		report: {ends: 0, areEndsCut: false},
		isReported: true,
	},
];

describe('lists of ends that are cut, at the agent', () => {
	for (const {
		name, messages, report, isReported = false,
	} of cases) {
		it(name, () => {
			const {state, effects} = applyMessages(messages.map(message => [0, message]));
			const snapshot = describeWorker(state, 0);
			expect(snapshot && {ends: snapshot.ended.length, areEndsCut: snapshot.areEndsCut === true}).to.deep.equal(report);
			if (isReported) {
				expect(effects.some(({kind}) => kind === 'renew')).to.equal(true);
			}
		});
	}
});
