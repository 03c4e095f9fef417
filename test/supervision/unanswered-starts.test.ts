/** An agent reports the starts that its worker may still carry out, as long as it may. */
import {expect} from 'chai';
import type {WorkerId} from '#core';
import {lateCallMilliseconds, type RunEnding} from '#jobs';
import {describeWorker, type SupervisionMessage} from '#supervision';
import {
	announcement, applyMessages, buildExtension, extensionAnswered, granted, noEnds, task,
} from '#test/support/supervision';

const requested: SupervisionMessage = {
	kind: 'start-requested', incarnation: '100', task, run: 1, leaseUntil: 6000,
};

function ended(ending: RunEnding): SupervisionMessage {
	return {
		kind: 'extension-answered', extension: buildExtension(), result: {
			kind: 'answered', incarnation: '100', clock: 51_000, running: [], ended: {
				kind: 'whole', ends: [{
					number: 1, task, run: 1, ending, checkpoint: '',
				}],
			},
		},
	};
}

/** A worker with another identifier, or another incarnation of the same one, announces itself and answers. */
function replacedBy(worker: string, incarnation: string): ReadonlyArray<readonly [number, SupervisionMessage]> {
	const extension = buildExtension({worker: worker as WorkerId, incarnation});
	return [
		[30, {
			kind: 'announced', announcement: announcement({
				worker: worker as WorkerId, incarnation, startedAt: Number(incarnation), clock: 0,
			}),
		}],
		[35, {
			kind: 'extension-answered', extension, result: {
				kind: 'answered', incarnation, clock: 10, running: [], ended: noEnds,
			},
		}],
	];
}

const broken: SupervisionMessage = {kind: 'extension-answered', extension: buildExtension(), result: {kind: 'failed', message: 'other side closed'}};

/** The answer to a call that was made at a time. */
function answeredCall(sentAt: number): SupervisionMessage {
	return {
		kind: 'extension-answered', extension: buildExtension({sentAt}), result: {
			kind: 'answered', incarnation: '100', clock: 50_000 + sentAt, running: [], ended: noEnds,
		},
	};
}

type Case = Readonly<{name: string; messages: ReadonlyArray<readonly [number, SupervisionMessage]>; at?: number; isReported: boolean}>;

const cases: readonly Case[] = [
	{name: 'a start without an answer is reported (start that the scheduler takes for void)', messages: [], isReported: true},
	{
		name: 'it is reported until it can no longer be carried out (task that waits without end)', messages: [], at: 20 + lateCallMilliseconds, isReported: false,
	},
	{
		name: 'an answered start is not (task that waits although its run has ended)', messages: [[25, {
			kind: 'started', incarnation: '100', task, run: 1, clock: 50_020,
		}]], isReported: false,
	},
	{name: 'a refused start is not (task that waits although nothing was done)', messages: [[25, {kind: 'start-refused', task, run: 1}]], isReported: false},
	{name: 'a run that the worker lists was carried out (task that waits although its run has ended)', messages: [[25, extensionAnswered(51_000, {running: [task]})]], isReported: false},
	...(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone'] as const).map((ending): Case => ({
		name: `a run that ended as ${ending} was carried out (task that waits although its run has ended)`, messages: [[25, ended(ending)]], isReported: false,
	})),
	{
		name: 'the next incarnation may carry it out although it confirmed a stop (start carried out by a third incarnation)', messages: replacedBy('w', '200'), at: 40, isReported: true,
	},
	{
		name: 'a worker with another identifier refuses it (task that waits although the start is void)', messages: replacedBy('other', '200'), at: 40, isReported: false,
	},
];

describe('unanswered starts that an agent reports', () => {
	for (const {name, messages, at = 50, isReported} of cases) {
		it(name, () => {
			const {state} = applyMessages([[0, {kind: 'announced', announcement: announcement()}], [0, granted], [0, extensionAnswered(50_000)], [20, requested], ...messages]);
			// Reported once the next incarnation has confirmed the stops.
			const settled = state.worker === undefined ? state : {...state, worker: {...state.worker, startsToRevoke: []}};
			const reported = describeWorker(settled, at)?.unansweredStarts;
			expect(reported?.knownForMilliseconds).to.equal(at);
			expect(reported?.starts).to.deep.equal(isReported ? [{task, run: 1, remainingMilliseconds: lateCallMilliseconds + 20 - at}] : []);
		});
	}
});

/** When the worker, which was told to start a run at 20 ms, fell silent, and what it answered before. */
type CrashCase = Readonly<{name: string; messages: ReadonlyArray<readonly [number, SupervisionMessage]>; lost: readonly number[]}>;

const crashCases: readonly CrashCase[] = [
	{name: 'a worker that falls silent at once was crashed by the start (worker after worker crashes)', messages: [[30, broken]], lost: [1]},
	{
		name: 'a call that the start overtook says nothing (worker after worker crashes)', messages: [[40, answeredCall(25)], [60, broken]], lost: [1],
	},
	{
		name: 'a worker that answers a later call was not (sound job shown as failed)', messages: [[280, answeredCall(275)], [300, broken]], lost: [],
	},
	{name: 'a worker that falls silent long after the start was not (sound job shown as failed)', messages: [[1500, broken]], lost: []},
	{name: 'a worker that was silent before was not (sound job shown as failed)', messages: [[10, broken], [200, broken]], lost: []},
	{name: 'a start that was refused crashed nothing (sound job shown as failed)', messages: [[25, {kind: 'start-refused', task, run: 1}], [30, broken]], lost: []},
];

describe('crashes that an agent ascribes to a start without an answer', () => {
	for (const {name, messages, lost} of crashCases) {
		it(name, () => {
			const restarted = replacedBy('w', '200').map(([time, message]) => [time + 5000, message] as const);
			const {state} = applyMessages([
				[0, {kind: 'announced', announcement: announcement()}],
				[0, granted],
				[0, extensionAnswered(50_000)],
				...[[20, requested] as const, ...messages].toSorted(([first], [second]) => first - second),
				...restarted,
			]);
			expect(state.worker?.announcement.incarnation).to.equal('200');
			expect(state.lostRuns.map(({run}) => run)).to.deep.equal(lost);
		});
	}

	it('a start is reported as lost also if its worker stays silent beyond its lease (worker after worker falls silent)', () => {
		const {state} = applyMessages([[0, {kind: 'announced', announcement: announcement()}], [0, granted], [0, extensionAnswered(50_000)], [20, requested], [30, broken]]);
		expect([5000, 30_000].map(time => describeWorker(state, time)?.lost)).to.deep.equal([[], [{task, run: 1}]]);
	});

	it('a worker is asked for its runs soon after a start without an answer, and not after an answered one (crash with another cause ascribed to the start)', () => {
		const begin = [[0, {kind: 'announced', announcement: announcement()}], [0, granted], [0, extensionAnswered(50_000)], [20, requested]] as const;
		const probesAt = (time: number, messages: ReadonlyArray<readonly [number, SupervisionMessage]>) => {
			const {effects} = applyMessages([...begin, ...messages, [time, {kind: 'probe-due'}]]);
			return effects.filter(({kind}) => kind === 'probe').length;
		};

		expect(probesAt(270, [])).to.equal(1);
		expect(probesAt(100, [])).to.equal(0);
		expect(probesAt(270, [[25, {kind: 'start-refused', task, run: 1}]])).to.equal(0);
	});
});
