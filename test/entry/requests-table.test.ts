import {expect} from 'chai';
import type {Outcome, RequestWork} from '#core';
import {
	computeDigest, findEnded, initialRequestsState, receiveRequestsMessage,
} from '../../packages/entry/requests/table.js';
import type {RequestsEffect, RequestsMessage, RequestsState} from '../../packages/entry/requests/types.js';

const completed: Outcome = {
	kind: 'completed', result: {
		status: 'succeeded', body: 'whole', serviceMilliseconds: 1, queueMilliseconds: 0,
	},
};
const unknown: Outcome = {kind: 'unknown', reason: 'timeout'};

function workOf(requestId: string, plan = 'rosters', payload = 'a'): RequestWork {
	const work: unknown = {
		requestId, plan, kind: 'roster', idempotent: true, payload,
	};
	return work as RequestWork;
}

const submit = (replyId: number, work: RequestWork, planLimit = 2, totalLimit = 3): RequestsMessage => ({
	kind: 'submit', work, digest: computeDigest(work), replyId, options: {
		isRetry: false, mayForward: true, planLimit, totalLimit,
	},
});
const {requestId} = workOf('one');
const answered = (number: number, outcome: Outcome): RequestsMessage => ({
	kind: 'answered', requestId, number, outcome, bytes: 10,
});
const settled: RequestsMessage = {kind: 'settled', plan: workOf('one').plan};

type Case = Readonly<{name: string; messages: readonly RequestsMessage[]; expected: readonly string[]}>;

const cases: readonly Case[] = [
	{
		name: 'two submissions with the same identifier share one request task and both receive its answer',
		messages: [submit(1, workOf('one')), submit(2, workOf('one')), answered(1, completed)],
		expected: ['start 1', 'completed to 1', 'completed to 2'],
	},
	{
		name: 'a second answer to an ended request is ignored',
		messages: [submit(1, workOf('one')), answered(1, completed), answered(1, unknown)],
		expected: ['start 1', 'completed to 1'],
	},
	{
		name: 'a request that reuses the identifier of a different request is refused and does not receive its result',
		messages: [submit(1, workOf('one')), submit(2, workOf('one', 'rosters', 'b')), answered(1, completed), submit(3, workOf('one', 'layouts'))],
		expected: ['start 1', 'identifier-reused to 2', 'completed to 1', 'identifier-reused to 3'],
	},
	{
		name: 'a resubmitted request receives its stored result if it completed, and is processed again if its outcome is unknown',
		messages: [submit(1, workOf('one')), answered(1, unknown), settled, submit(2, workOf('one')), answered(2, completed), submit(3, workOf('one'))],
		expected: ['start 1', 'unknown to 1', 'start 2', 'completed to 2', 'completed to 3'],
	},
	{
		name: 'a late answer of an earlier request task does not end the current one',
		messages: [submit(1, workOf('one')), answered(1, unknown), submit(2, workOf('one')), answered(1, completed)],
		expected: ['start 1', 'unknown to 1', 'start 2'],
	},
	{
		name: 'a plan at its limit is refused while other plans are still admitted up to the total limit',
		messages: [submit(1, workOf('one')), submit(2, workOf('two')), submit(3, workOf('three')), submit(4, workOf('four', 'layouts')), submit(5, workOf('five', 'layouts'))],
		expected: ['start 1', 'start 2', 'quota-exceeded to 3', 'start 3', 'overloaded to 5'],
	},
	{
		name: 'a request counts towards the limits until it is settled, not only until its caller is answered',
		messages: [submit(1, workOf('one'), 1), answered(1, unknown), submit(2, workOf('two'), 1), settled, submit(3, workOf('two'), 1)],
		expected: ['start 1', 'unknown to 1', 'quota-exceeded to 2', 'start 2'],
	},
	{
		name: 'the request task is notified only when its last caller has disconnected',
		messages: [submit(1, workOf('one')), submit(2, workOf('one')), {kind: 'left', requestId, replyId: 1}, {kind: 'left', requestId, replyId: 2}],
		expected: ['start 1', 'caller-left to task 1'],
	},
	{
		name: 'a cancellation that arrives too late is answered as running',
		messages: [submit(1, workOf('one')), {kind: 'cancel', requestId, replyId: 7}, {kind: 'cancel-refused', requestId, number: 1}],
		expected: ['start 1', 'cancelled to task 1', 'running to cancel 7'],
	},
	{
		name: 'a cancellation of an unknown request is answered as absent',
		messages: [{kind: 'cancel', requestId, replyId: 7}],
		expected: ['absent to cancel 7'],
	},
];

function describeEffect(effect: RequestsEffect): string {
	switch (effect.kind) {
		case 'start': {
			return `start ${effect.number}`;
		}

		case 'send': {
			return `${effect.message.kind} to task ${effect.number}`;
		}

		case 'decide-retry': {
			return `retry ${effect.isAllowed ? 'granted' : 'denied'}`;
		}

		case 'reply-submit': {
			const {replyId, reply} = effect;
			return `${reply.kind === 'outcome' ? reply.outcome.kind : reply.reason} to ${replyId}`;
		}

		case 'reply-cancel': {
			const {replyId, reply} = effect;
			return `${reply.kind === 'outcome' ? reply.outcome.kind : reply.kind} to cancel ${replyId}`;
		}
	}
}

function receiveAll(messages: readonly RequestsMessage[], start: RequestsState = initialRequestsState): Readonly<{state: RequestsState; effects: readonly string[]}> {
	let state = start;
	const effects: string[] = [];
	for (const message of messages) {
		const step = receiveRequestsMessage(state, message, {monotonic: 0});
		state = step.state;
		effects.push(...step.effects.map(describeEffect));
	}

	return {state, effects};
}

describe('requests of an entry', () => {
	for (const {name, messages, expected} of cases) {
		it(name, () => {
			expect(receiveAll(messages).effects).to.deep.equal(expected);
		});
	}

	it('a result that arrives after an unknown outcome was answered replaces it', () => {
		const {state} = receiveAll([submit(1, workOf('one')), answered(1, unknown), {
			kind: 'recorded', requestId, number: 1, outcome: completed, bytes: 10,
		}]);
		expect(findEnded(state, requestId)?.outcome).to.deep.equal(completed);
	});

	it('large results evict older ones, so that memory use is bounded', () => {
		const submitLarge = (number: number): RequestsMessage[] => [submit(number, workOf(`large-${number}`), 9, 9), {
			kind: 'answered', requestId: workOf(`large-${number}`).requestId, number, outcome: completed, bytes: 5_000_000,
		}, settled];
		const {state} = receiveAll([1, 2, 3, 4].flatMap(submitLarge));
		const retained = [1, 2, 3, 4].filter(number => findEnded(state, workOf(`large-${number}`).requestId) !== undefined);
		expect(retained).to.deep.equal([3, 4]);
	});
});
