import {expect} from 'chai';
import type {RequestWork} from '#core';
import {identifierClockSkewMilliseconds, identifierRetentionMilliseconds} from '#recovery';
import {
	createExecutionSettings, createExecutionState, receiveExecutionMessage, type ExecutionEffect, type ExecutionSettings, type ExecutionState,
} from '#execution';
import {
	startTime, createIdentifier, createWork, incarnation,
} from './driver';

type Event =
	| Readonly<{kind: 'run'; work: RequestWork}>
	| Readonly<{kind: 'end' | 'withdraw'; work: RequestWork; body?: string}>
	| Readonly<{kind: 'clock'; wall: number; monotonic: number}>;

type Case = Readonly<{name: string; settings: Partial<ExecutionSettings>; events: readonly Event[]; expected: readonly string[]}>;

const defaultSettings = createExecutionSettings(incarnation, 8);
const afterRetention = startTime + defaultSettings.retentionMilliseconds + 1;
const first = createWork(1, 0);
const second = createWork(2, 0);
const idempotentWork = createWork(3, 0, {idempotent: true});

const cases: readonly Case[] = [
	{
		name: 'a wall clock that is set back makes an expired identifier valid again',
		settings: {},
		events: [{kind: 'clock', wall: afterRetention, monotonic: 10}, {kind: 'run', work: first}, {kind: 'clock', wall: startTime, monotonic: 20}, {kind: 'run', work: first}],
		expected: ['identifier-expired', 'identifier-expired'],
	},
	{
		name: 'a full ledger evicts the answer of a non-idempotent request to admit a new one',
		settings: {maximumRetainedAnswers: 1},
		events: [{kind: 'run', work: first}, {kind: 'end', work: first}, {kind: 'run', work: second}, {kind: 'run', work: first}],
		expected: ['start', 'ran', 'overloaded', 'ran'],
	},
	{
		name: 'a request that a full ledger refused without a record starts later',
		settings: {maximumRetainedAnswers: 1},
		events: [
			{kind: 'run', work: createWork(1, 0, {requestId: createIdentifier(startTime - 659_000, 1)})},
			{kind: 'end', work: createWork(1, 0, {requestId: createIdentifier(startTime - 659_000, 1)})},
			{kind: 'run', work: createWork(2, 0, {requestId: createIdentifier(startTime + 55_000, 2)})},
			{kind: 'clock', wall: startTime + 714_000, monotonic: 721_000},
			{kind: 'run', work: createWork(2, 0, {requestId: createIdentifier(startTime + 55_000, 2)})},
			{kind: 'run', work: createWork(4, 0, {requestId: createIdentifier(startTime + 714_000, 4)})},
		],
		expected: ['start', 'ran', 'overloaded', 'overloaded', 'start'],
	},
	{
		name: 'answers of idempotent requests are not evicted when the byte limit is reached',
		settings: {maximumRetainedBytes: 2000},
		events: [
			{kind: 'run', work: idempotentWork},
			{kind: 'end', work: idempotentWork, body: 'x'.repeat(1200)},
			{kind: 'run', work: first},
			{kind: 'end', work: first, body: 'x'.repeat(1200)},
			{kind: 'run', work: idempotentWork},
			{kind: 'run', work: first},
		],
		expected: ['start', 'ran', 'start', 'ran', 'start', 'ran'],
	},
	{
		name: 'a withdrawal without room for a tombstone is confirmed although the request could still start',
		settings: {maximumRetainedAnswers: 1},
		events: [{kind: 'run', work: first}, {kind: 'end', work: first}, {kind: 'withdraw', work: second}],
		expected: ['start', 'ran', 'running'],
	},
];

function describeEffect(effect: ExecutionEffect): readonly string[] {
	switch (effect.kind) {
		case 'start-task': {
			return ['start'];
		}

		case 'answer-run': {
			return [effect.answer.kind === 'refused' ? effect.answer.reason : effect.answer.kind];
		}

		case 'answer-withdraw': {
			return [effect.result.kind];
		}

		case 'answer-find':
		case 'count-refusal':
		case 'schedule-tick':
		case 'report-drained': {
			return [];
		}
	}
}

function simulate(settings: ExecutionSettings, events: readonly Event[]): readonly string[] {
	let state: ExecutionState = createExecutionState(settings);
	let time = {now: startTime, monotonic: 0};
	const observed: string[] = [];
	for (const event of events) {
		if (event.kind === 'clock') {
			time = {now: event.wall, monotonic: event.monotonic};
		}

		const step = receiveExecutionMessage(state, toMessage(event), time);
		state = step.state;
		observed.push(...step.effects.flatMap(describeEffect));
	}

	return observed;
}

function toMessage(event: Event): Parameters<typeof receiveExecutionMessage>[1] {
	switch (event.kind) {
		case 'run': {
			return {
				kind: 'run', work: event.work, incarnation, serviceClass: 'short', estimatedMilliseconds: 50, replyId: 1,
			};
		}

		case 'end': {
			return {kind: 'task-ended', requestId: event.work.requestId, result: {status: 'succeeded', body: event.body}};
		}

		case 'withdraw': {
			return {
				kind: 'withdraw', requestId: event.work.requestId, incarnation, replyId: 1,
			};
		}

		case 'clock': {
			return {kind: 'tick'};
		}
	}
}

describe('ledger of request identifiers: prevented failures', () => {
	it('an agent drops an identifier that entries still accept', () => {
		expect(defaultSettings.retentionMilliseconds).to.be.at.least(identifierRetentionMilliseconds + identifierClockSkewMilliseconds);
	});

	for (const {
		name, settings, events, expected,
	} of cases) {
		it(name, () => {
			expect(simulate({...defaultSettings, ...settings}, events)).to.deep.equal(expected);
		});
	}
});
