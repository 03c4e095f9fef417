import {expect} from 'chai';
import {createClient} from '#client';
import {createRandomSource} from '#core';
import {createVirtualClock} from '#kernel';
import type {HttpResult} from '#transport';
import {elapse} from '#test/support/virtual-time';

type Case = Readonly<{
	name: string;
	answers: readonly HttpResult[];
	outcome: Readonly<Record<string, unknown>>;
	/** The retry flag of each submission that was sent. */
	retries: readonly boolean[];
}>;

const result = {
	status: 'succeeded', body: {code: 7}, serviceMilliseconds: 5, queueMilliseconds: 0,
};
const completed: HttpResult = {kind: 'answered', status: 200, body: {requestId: 'id-1', outcome: 'completed', ...result}};
const neverSent: HttpResult = {kind: 'failed', delivery: 'never-sent', message: 'refused'};
const perhapsSent: HttpResult = {kind: 'failed', delivery: 'perhaps-sent', message: 'reset'};
const problem = (status: number, body: unknown): HttpResult => ({kind: 'answered', status, body});
const queueFull = problem(503, {reason: 'queue-full', outcome: 'not-run', retryAfterMilliseconds: 1000});

const cases: readonly Case[] = [
	{
		name: 'a submission whose answer was lost is retried under the same identifier (duplicate run)',
		answers: [perhapsSent, completed],
		outcome: {kind: 'completed', id: 'id-1', value: result},
		retries: [false, true],
	},
	{
		name: 'a submission that may have run is never reported as not run, even if later ones were never sent',
		answers: [perhapsSent, neverSent, neverSent, neverSent],
		outcome: {kind: 'unknown', id: 'id-1', reason: 'connection-lost'},
		retries: [false, true, true, true],
	},
	{
		name: 'submissions that were never sent are reported as not run (false alarm)',
		answers: [neverSent, neverSent, neverSent, neverSent],
		outcome: {kind: 'not-run', reason: 'connection-lost'},
		retries: [false, false, false, false],
	},
	{
		name: 'a definite refusal is not followed by a retry flag (refusals that turn into unknown)',
		answers: [queueFull, queueFull, queueFull, queueFull],
		outcome: {kind: 'not-run', reason: 'queue-full', retryAfterMilliseconds: 1000},
		retries: [false, false, false, false],
	},
	{
		name: 'a refused retry stays unknown if the entry cannot rule out an earlier run',
		answers: [perhapsSent, problem(502, {reason: 'queue-full', outcome: 'unknown'}), problem(502, {reason: 'connection-lost', outcome: 'unknown'})],
		outcome: {kind: 'unknown', reason: 'connection-lost'},
		retries: [false, true, true],
	},
	{
		name: 'findings of an invalid request reach the caller and nothing is retried',
		answers: [problem(400, {reason: 'invalid-request', findings: [{place: 'plan', message: 'is empty'}]})],
		outcome: {kind: 'not-run', reason: 'invalid-request', findings: [{place: 'plan', message: 'is empty'}]},
		retries: [false],
	},
	{
		name: 'an invalid retry does not settle the first submission, which may have run',
		answers: [perhapsSent, problem(413, {reason: 'body-too-large'})],
		outcome: {kind: 'unknown', reason: 'body-too-large'},
		retries: [false, true],
	},
	{
		name: 'an internal error of an entry is reported as unknown',
		answers: [problem(500, {reason: 'internal-error'})],
		outcome: {kind: 'unknown'},
		retries: [false],
	},
	{
		name: 'a success status with an incomplete result is reported as unknown',
		answers: [problem(200, {requestId: 'id-1', outcome: 'completed'})],
		outcome: {kind: 'unknown'},
		retries: [false],
	},
];

describe('client library', () => {
	for (const {name, answers, outcome, retries} of cases) {
		it(name, async () => {
			const clock = createVirtualClock();
			const sent: Array<Readonly<Record<string, unknown>>> = [];
			const client = createClient({
				origins: ['http://entry'],
				clock,
				random: createRandomSource(1),
				createIdentifier: () => 'id-1',
				connect: () => ({
					async send(_method, _path, {body}) {
						sent.push(body as Readonly<Record<string, unknown>>);
						return answers[sent.length - 1] ?? expect.fail('more submissions than answers');
					},
					async close() {/* There is no connection. */},
				}),
			});
			const submitting = client.submitRequest({
				plan: 'rosters', kind: 'roster', idempotent: false, payload: {},
			});
			await elapse(clock, 20_000, 100);
			expect(await submitting).to.deep.include(outcome);
			expect(sent.map(({retry}) => retry === true)).to.deep.equal(retries);
			expect(new Set(sent.map(({requestId}) => requestId))).to.deep.equal(new Set(['id-1']));
		});
	}
});

type FindCase = Readonly<{name: string; answers: readonly [HttpResult, HttpResult]; expected: Readonly<Record<string, unknown>>}>;

const found = problem(200, {jobId: 'id-1', state: 'running'});
const absent = problem(404, {reason: 'not-found'});

const findCases: readonly FindCase[] = [
	{name: 'an unreachable entry does not hide the answer of another one', answers: [neverSent, found], expected: {kind: 'found'}},
	{name: 'an entry that does not know a job does not hide the answer of another one', answers: [absent, found], expected: {kind: 'found'}},
	{name: 'an unreachable entry does not turn an absent job into an unavailable one', answers: [neverSent, absent], expected: {kind: 'absent'}},
	{name: 'a job is not reported as absent if all entries are unreachable', answers: [neverSent, neverSent], expected: {kind: 'unavailable'}},
];

describe('job lookup through several entries', () => {
	for (const {name, answers, expected} of findCases) {
		it(name, async () => {
			const client = createClient({
				origins: ['http://first', 'http://second'],
				clock: createVirtualClock(),
				random: createRandomSource(1),
				connect: origin => ({
					send: async () => origin === 'http://first' ? answers[0] : answers[1],
					async close() {/* There is no connection. */},
				}),
			});
			expect(await client.findJob('id-1')).to.deep.include(expected);
		});
	}
});
