import {expect} from 'chai';
import type {WorkerId} from '#core';
import type {Acknowledgements, EndedRun} from '#jobs';
import {
	describeWorker, isAnswerOf, lateCallMilliseconds, lostRunRetentionMilliseconds, receiveSupervisionMessage,
	type LeaseExtensionResult, type SupervisionEffect, type SupervisionMessage, type SupervisionState,
} from '#supervision';
import {
	announcement, applyMessages, buildExtension, extensionAnswered, granted, noEnds, options, startedAt10, task,
} from '#test/support/supervision';

const departed: SupervisionMessage = {kind: 'departed', worker: 'w' as WorkerId};
const restarted: SupervisionMessage = {kind: 'announced', announcement: announcement({incarnation: '200', startedAt: 200, clock: 0})};
const done: EndedRun = {
	number: 1, task, run: 1, ending: 'done', checkpoint: '',
};

function answered(incarnation: string, change: Readonly<{asked?: string; clock?: number; ended?: readonly EndedRun[]; running?: readonly string[]}> = {}): SupervisionMessage {
	const {asked = incarnation, clock = 51_000, ended = [], running = []} = change;
	return {
		kind: 'extension-answered',
		extension: buildExtension({incarnation: asked}),
		result: {
			kind: 'answered', incarnation, clock, running: running.map(() => ({
				task, run: 1, checkpoint: '', percent: 5,
			})), ended: {kind: 'whole', ends: ended},
		},
	};
}

function unanswered(kind: Exclude<LeaseExtensionResult['kind'], 'answered'>, asked = '100'): SupervisionMessage {
	return {kind: 'extension-answered', extension: buildExtension({incarnation: asked}), result: {kind, message: 'none'}};
}

function listEndings({endedIncarnations}: SupervisionState): readonly string[] {
	return endedIncarnations.map(({incarnation, ending}) => `${incarnation} ${ending}`);
}

/** The answer to an acknowledgement that was sent at a time. */
function ackAnswer(sentAt: number, kind: 'answered' | 'failed'): SupervisionMessage {
	return {
		kind: 'extension-answered',
		extension: buildExtension({notedEnd: 1, sentAt}),
		result: kind === 'failed'
			? {kind, message: 'no data'}
			: {
				kind, incarnation: '100', clock: 51_900, running: [], ended: noEnds,
			},
	};
}

/** The first end is stored. */
const stored: SupervisionMessage = {...granted, notedEnd: 1};

type Case = Readonly<{
	name: string;
	/** Messages after a run was started on incarnation 100, with their times. */
	messages: ReadonlyArray<readonly [number, SupervisionMessage]>;
	current: string | undefined;
	endings: readonly string[];
}>;

const cases: readonly Case[] = [
	{
		name: 'a worker that still answers has not left (two runs of a task while the worker stays)',
		messages: [[20, departed], [25, answered('100', {running: [task]})], [100, {kind: 'check-due'}], [105, answered('100', {clock: 51_100, running: [task]})]],
		current: '100',
		endings: [],
	},
	{
		name: 'a worker that nothing can reach has left (runs of a departed worker never started again)',
		messages: [[20, departed], [25, unanswered('absent')]],
		current: undefined,
		endings: ['100 left'],
	},
	{
		name: 'a silent worker has left once its lease is over, not before (two runs of a task while the worker stays)',
		messages: [[20, departed], [25, unanswered('failed')], [6200, unanswered('failed')]],
		current: '100',
		endings: [],
	},
	{
		name: 'a silent worker has left once its lease is over (runs of a departed worker never started again)',
		messages: [[20, departed], [25, unanswered('failed')], [6600, unanswered('failed')]],
		current: undefined,
		endings: ['100 left'],
	},
	{
		name: 'a departure that arrives after the next incarnation announced itself does not remove it (two runs of a task)',
		messages: [
			[20, restarted],
			[25, answered('200')],
			[30, departed],
			[35, answered('200', {clock: 51_100})],
			[40, {kind: 'announced', announcement: announcement({incarnation: '200', startedAt: 200, sequence: 2})}],
		],
		current: '200',
		endings: [],
	},
	{
		name: 'ends that were listed before the departure are reported with it (task started again after it was done)',
		messages: [[20, answered('100', {ended: [done]})], [30, departed], [35, unanswered('absent')]],
		current: undefined,
		endings: ['100 left'],
	},
	{
		name: 'ends that are listed after the departure was announced are reported with it (task started again after it was done)',
		messages: [[20, departed], [25, answered('100', {ended: [done]})], [35, unanswered('absent')]],
		current: undefined,
		endings: ['100 left'],
	},
	{
		name: 'ends that were listed before the worker started again are reported (task started again after it was done)',
		messages: [[20, answered('100', {ended: [done]})], [30, restarted], [35, answered('200')]],
		current: '200',
		endings: ['100 replaced'],
	},
	{
		name: 'an incarnation replaces the current one only once the worker answers as it (two runs after a delayed announcement)',
		messages: [[20, restarted], [25, answered('100', {asked: '200'})]],
		current: '100',
		endings: [],
	},
	{
		name: 'an incarnation whose clock was set back replaces the current one (worker unusable after a restart)',
		messages: [[20, {kind: 'announced', announcement: announcement({incarnation: '50', startedAt: 50})}], [25, answered('50')]],
		current: '50',
		endings: [],
	},
	{
		name: 'an announced incarnation that does not answer yet is asked again (worker unusable after a restart)',
		messages: [[20, restarted], [25, unanswered('failed', '200')], [275, {kind: 'check-due'}], [280, answered('200')]],
		current: '200',
		endings: [],
	},
];

describe('incarnations of the worker beside an agent', () => {
	for (const {name, messages, current, endings} of cases) {
		it(name, () => {
			const {state} = applyMessages([...startedAt10, ...messages]);
			expect(state.worker?.announcement.incarnation).to.equal(current);
			expect(listEndings(state)).to.deep.equal(endings);
			const isDoneListed = messages.some(([, message]) => message.kind === 'extension-answered' && message.result.kind === 'answered' && message.result.ended.ends.includes(done));
			expect(state.endedIncarnations.flatMap(({ended}) => ended)).to.deep.equal(isDoneListed ? [done] : []);
		});
	}

	it('a worker that announced its departure gets neither starts nor leases (start on a worker that leaves)', () => {
		const {state} = applyMessages([...startedAt10, [20, departed]]);
		expect(describeWorker(state, 20)).to.include({state: 'ready', isResponsive: false, isLeaseOver: false});
		const {effects} = receiveSupervisionMessage(state, {kind: 'extension-due'}, {now: 30, monotonic: 30}, options);
		expect(effects.flatMap(effect => effect.kind === 'extend-leases' ? [effect.extension.deadline] : [])).to.deep.equal([undefined]);
	});

	it('an end is reported until a scheduler has received it (end lost with a renewal)', () => {
		const {state} = applyMessages([...startedAt10, [20, departed], [25, unanswered('absent')]]);
		const [incarnation] = state.endedIncarnations;
		const reported = receiveSupervisionMessage(state, {kind: 'incarnation-end-reported', incarnation: incarnation!}, {now: 30, monotonic: 30}, options);
		expect(reported.state.endedIncarnations).to.deep.equal([]);
	});

	for (const {name, at, count} of [
		{name: 'an end that a scheduler received is reported to the next one, as the first may not have stored it (done task started again after a takeover)', at: 1000, count: 1},
		{name: 'an end that a scheduler received long ago is not reported again (reports that grow without end)', at: 30 + lostRunRetentionMilliseconds, count: 0},
	]) {
		it(name, () => {
			const {state} = applyMessages([...startedAt10, [20, answered('100', {ended: [done]})], [22, departed], [25, unanswered('absent')]]);
			const reported = receiveSupervisionMessage(state, {kind: 'incarnation-end-reported', incarnation: state.endedIncarnations[0]!}, {now: 30, monotonic: 30}, options).state;
			expect(reported.endedIncarnations).to.deep.equal([]);
			const {state: next} = receiveSupervisionMessage(reported, {kind: 'epoch-raised', epoch: 4}, {now: at, monotonic: at}, options);
			expect(next.endedIncarnations.flatMap(({ended}) => ended)).to.have.length(count);
		});
	}

	it('the leases that an earlier process of the agent extended count (running task released after a restart of the agent)', () => {
		const {state} = applyMessages([
			[0, {kind: 'announced', announcement: announcement()}],
			[0, {kind: 'epoch-raised', epoch: 3}],
			[10, answered('100')],
			[1000, granted],
			[1700, unanswered('failed')],
		]);
		expect(describeWorker(state, 1800)).to.include({isResponsive: false, isLeaseOver: false});
		expect(describeWorker(state, 6500)).to.include({isLeaseOver: true});
	});

	it('starts that an incarnation did not answer are stopped on the next one before it is reported (start carried out by the next incarnation)', () => {
		const requested: SupervisionMessage = {
			kind: 'start-requested', incarnation: '100', task, run: 2, leaseUntil: 6000,
		};
		const revoked = (state: SupervisionState): SupervisionMessage => ({kind: 'starts-revoked', incarnation: '200', starts: state.worker?.startsToRevoke ?? []});
		const {state, effects} = applyMessages([...startedAt10, [20, requested], [30, restarted], [35, answered('200')]]);
		expect(effects.flatMap(effect => effect.kind === 'revoke-starts' ? effect.worker.startsToRevoke : [])).to.deep.equal([{
			worker: 'w', task, run: 2, sentAt: 20,
		}]);
		expect(describeWorker(state, 40)).to.equal(undefined);
		expect(describeWorker(receiveSupervisionMessage(state, revoked(state), {now: 40, monotonic: 40}, options).state, 40)).to.include({incarnation: '200'});
		expect(describeWorker(state, 20 + lateCallMilliseconds)).to.include({incarnation: '200'});
		const refused = applyMessages([...startedAt10, [20, requested], [25, {kind: 'start-refused', task, run: 2}], [30, restarted], [35, answered('200')]]);
		expect(refused.state.worker?.startsToRevoke).to.deep.equal([]);
	});

	it('an acknowledgement is sent until it is answered, and not with every call (end of the next incarnation discarded)', () => {
		const acknowledged = {...granted, notedEnd: 1} as const;
		const listed = answered('100', {ended: [done]});
		const notedEndsOf = (effects: readonly SupervisionEffect[]) => effects.flatMap(effect => effect.kind === 'extend-leases' ? [effect.extension.notedEnd] : []);
		const sent = applyMessages([...startedAt10, [20, listed], [30, acknowledged]]);
		expect(notedEndsOf(sent.effects)).to.deep.equal([1]);
		expect(notedEndsOf(applyMessages([...startedAt10, [20, listed], [30, acknowledged], [40, {kind: 'extension-due'}]]).effects)).to.deep.equal([1]);
		const answer: SupervisionMessage = {
			kind: 'extension-answered', extension: buildExtension({notedEnd: 1, sentAt: 30}), result: {
				kind: 'answered', incarnation: '100', clock: 51_100, running: [], ended: noEnds,
			},
		};
		expect(notedEndsOf(applyMessages([...startedAt10, [20, listed], [30, acknowledged], [35, answer], [40, {kind: 'extension-due'}]]).effects)).to.deep.equal([0]);
	});

	for (const {name, messages} of [
		{
			name: 'an acknowledgement without an answer bars starts although a later one was answered',
			messages: [[730, ackAnswer(30, 'failed')], [800, {kind: 'extension-due'}], [900, ackAnswer(800, 'answered')], [1000, restarted], [1005, answered('200')]],
		},
		{
			name: 'the bar on starts lasts over a second restart',
			messages: [[40, restarted], [45, answered('200')], [1000, {kind: 'announced', announcement: announcement({incarnation: '300', startedAt: 300, clock: 0})}], [1005, answered('300')]],
		},
	] satisfies ReadonlyArray<Readonly<{name: string; messages: ReadonlyArray<readonly [number, SupervisionMessage]>}>>) {
		it(`${name} (end of the next incarnation discarded)`, () => {
			const {state} = applyMessages([...startedAt10, [20, answered('100', {ended: [done]})], [30, {...granted, notedEnd: 1}], ...messages]);
			expect(state.worker?.startsBarredUntil).to.equal(30 + lateCallMilliseconds);
		});
	}

	it('a worker whose earlier incarnation did not answer an acknowledgement gets no starts while it may be carried out (end of the next incarnation discarded)', () => {
		const messages = [...startedAt10, [20, answered('100', {ended: [done]})], [30, {...granted, notedEnd: 1}]] as const;
		const {state} = applyMessages([...messages, [40, restarted], [45, answered('200')]]);
		expect(describeWorker(state, 45)).to.include({isResponsive: false, isLeaseOver: false});
		expect(describeWorker(state, 30 + lateCallMilliseconds)).to.include({isResponsive: true});
		const back = applyMessages([...messages, [40, departed], [45, unanswered('absent')], [50, restarted], [55, answered('200')]]);
		expect(back.state.worker?.startsBarredUntil).to.equal(30 + lateCallMilliseconds);
	});

	for (const {name, messages, acknowledgements} of [
		{name: 'none before an end is stored', messages: [], acknowledgements: undefined},
		{name: 'a call is under way', messages: [[30, stored]], acknowledgements: {answeredEnd: 0, isPending: true, remainingMilliseconds: lateCallMilliseconds - 970}},
		{name: 'the call was answered', messages: [[30, stored], [50, ackAnswer(30, 'answered')]], acknowledgements: {answeredEnd: 1}},
		{
			name: 'an earlier call was not answered, a later one was',
			messages: [[30, stored], [730, ackAnswer(30, 'failed')], [800, {kind: 'extension-due'}], [900, ackAnswer(800, 'answered')]],
			acknowledgements: {answeredEnd: 1, remainingMilliseconds: lateCallMilliseconds - 970},
		},
	] satisfies ReadonlyArray<Readonly<{name: string; messages: ReadonlyArray<readonly [number, SupervisionMessage]>; acknowledgements: Acknowledgements | undefined}>>) {
		it(`acknowledgements that the scheduler has to know after a restart of the agent: ${name} (end of the next incarnation discarded)`, () => {
			const {state} = applyMessages([...startedAt10, [20, answered('100', {ended: [done]})], ...messages]);
			expect(describeWorker(state, 1000)?.acknowledgements).to.deep.equal(acknowledgements);
		});
	}

	it('an answer by a clock that began anew comes from a later incarnation (stop of one incarnation confirmed by the next)', () => {
		const {state} = applyMessages(startedAt10);
		expect([51_000, 50_980, 50_100, undefined].map(clock => isAnswerOf(state.worker!, clock, 1000))).to.deep.equal([true, true, false, false]);
	});

	it('a worker that answers as another incarnation gets no leases (lease of one incarnation given to the next)', () => {
		const {state} = applyMessages([...startedAt10, [20, answered('200', {asked: '100'})], [25, granted], [30, extensionAnswered(50_000, {incarnation: '200'})]]);
		expect(state.worker).to.include({isResponsive: false});
	});
});
