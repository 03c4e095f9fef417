import {expect} from 'chai';
import {v7} from 'uuid';
import {configurationKey} from '#configuration';
import {createHttpStore} from '#store';
import {createHttpClient, type HttpClient, type HttpResult} from '#transport';
import {
	killAll, startDaemon, waitFor, type Daemon,
} from '#test/support/processes';

const timeout = 15_000;
const configuration = {
	plans: [{name: 'rosters'}], allowances: [{plan: 'rosters', maximumSlots: 8}], revision: 1, changeId: 'first', changedBy: 'test', changedAt: 0,
};

type Answer = Readonly<{status: number; body: Readonly<Record<string, unknown>>}>;

/** Two entries, one agent with one slot and its worker, and the store, as separate processes. */
type Fixture = Readonly<{
	daemons: Readonly<Record<'store' | 'worker' | 'agent' | 'first' | 'second', Daemon>>;
	submit(entry: 'first' | 'second', fields: Readonly<Record<string, unknown>>): Promise<Answer>;
	ask(entry: 'first' | 'second', method: 'GET' | 'DELETE', path: string): Promise<Answer>;
	switchStore(switches: Readonly<Record<string, unknown>>): Promise<void>;
	countStarts(requestId: string): Promise<number>;
	close(): Promise<void>;
}>;

function toAnswer(result: HttpResult): Answer {
	return result.kind === 'answered' ? {status: result.status, body: result.body as Answer['body']} : {status: 0, body: {outcome: 'none'}};
}

async function startFixture(): Promise<Fixture> {
	const store = await startDaemon('stand-in-store', {'listen-port': 0});
	const worker = await startDaemon('stand-in-worker', {'listen-port': 0});
	const storeOrigin = `http://127.0.0.1:${store.ports['http']}`;
	const workerOrigin = `http://127.0.0.1:${worker.ports['http']}`;
	const startEntry = async (entry: string) => startDaemon('dotterelnotch-entry', {
		entry, region: 'north', zone: 'north-a', 'store-origin': storeOrigin, 'listen-port': 0, 'peer-port': 0, 'log-level': 'error', 'notice-milliseconds': 300,
	});
	const first = await startEntry('entry-1');
	const second = await startEntry('entry-2');
	const agent = await startDaemon('dotterelnotch-agent', {
		worker: 'worker-1',
		region: 'north',
		zone: 'north-a',
		rack: 'rack-1',
		slots: 1,
		'worker-origin': workerOrigin,
		entries: `127.0.0.1:${first.ports['peers']},127.0.0.1:${second.ports['peers']}`,
		'log-level': 'error',
	});
	const keyValueStore = createHttpStore(storeOrigin);
	await keyValueStore.write(configurationKey, configuration, {expectedVersion: 0});
	await keyValueStore.close();
	const clients = {
		first: createHttpClient(`http://127.0.0.1:${first.ports['http']}`, 8),
		second: createHttpClient(`http://127.0.0.1:${second.ports['http']}`, 8),
		store: createHttpClient(storeOrigin, 1),
		worker: createHttpClient(workerOrigin, 1),
	} satisfies Readonly<Record<string, HttpClient>>;
	const daemons = {
		store, worker, agent, first, second,
	};
	const submit: Fixture['submit'] = async (entry, fields) => toAnswer(await clients[entry].send('POST', '/v1/requests', {
		body: {
			plan: 'rosters', kind: 'roster', idempotent: false, payload: {milliseconds: 5}, ...fields,
		}, timeout,
	}));
	for (const entry of ['first', 'second'] as const) {
		await waitFor(`${entry} entry`, async () => {
			const {status} = await submit(entry, {requestId: v7(), idempotent: true});
			return status === 200 ? true : undefined;
		});
	}

	return {
		daemons,
		submit,
		ask: async (entry, method, path) => toAnswer(await clients[entry].send(method, path, {timeout})),
		async switchStore(switches) {
			await clients.store.send('POST', '/switches', {body: switches, timeout});
		},
		async countStarts(requestId) {
			const {body} = toAnswer(await clients.worker.send('GET', '/records', {timeout}));
			return JSON.stringify(body).split(`{"taskId":"${requestId}","event":"started"`).length - 1;
		},
		async close() {
			await Promise.all(Object.values(clients).map(async client => client.close()));
			await killAll(Object.values(daemons));
		},
	};
}

const pause = async (milliseconds: number) => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

type Case = Readonly<{name: string; play(fixture: Fixture, requestId: string): Promise<void>}>;

const cases: readonly Case[] = [
	{
		name: 'a non-idempotent request that is submitted again through another entry gets the first answer and runs once',
		async play({submit, countStarts}, requestId) {
			const first = await submit('first', {requestId});
			const second = await submit('second', {requestId, retry: true});
			expect(first.body).to.include({outcome: 'completed'});
			expect(second.body).to.deep.equal(first.body);
			expect(await countStarts(requestId)).to.equal(1);
		},
	},
	{
		name: 'two entries that get one identifier at once run it once',
		async play({submit, countStarts}, requestId) {
			const answers = await Promise.all([submit('first', {requestId}), submit('second', {requestId, retry: true})]);
			expect(answers.map(({body}) => body['outcome'])).to.deep.equal(['completed', 'completed']);
			expect(await countStarts(requestId)).to.equal(1);
		},
	},
	{
		name: 'a claim whose answer is lost is read back and the request runs once',
		async play({submit, switchStore, countStarts}, requestId) {
			await switchStore({loseWriteAnswers: 1});
			const {body} = await submit('first', {requestId});
			expect(body).to.include({outcome: 'completed'});
			expect(await countStarts(requestId)).to.equal(1);
		},
	},
	{
		name: 'while the store is down non-idempotent requests are refused and idempotent ones run',
		async play({submit, switchStore, countStarts}, requestId) {
			await switchStore({outage: true});
			const refused = await submit('first', {requestId});
			const retried = await submit('first', {requestId, retry: true});
			const idempotent = await submit('first', {requestId: v7(), idempotent: true});
			await switchStore({outage: false});
			expect(refused.body).to.include({outcome: 'not-run', reason: 'claim-unavailable'});
			expect(retried.body).to.include({outcome: 'unknown', reason: 'claim-unavailable'});
			expect(idempotent.body).to.include({outcome: 'completed'});
			expect(await countStarts(requestId)).to.equal(0);
		},
	},
	{
		name: 'a request whose time ran out in the queue is not-run and never runs',
		async play({submit, countStarts}, requestId) {
			const blocker = submit('first', {requestId: v7(), payload: {milliseconds: 1500}});
			await pause(100);
			const {body} = await submit('first', {requestId, declaredMilliseconds: 1, latestUsefulAt: Date.now() + 300});
			const blocked = await blocker;
			await pause(200);
			expect(blocked.body).to.include({outcome: 'completed'});
			expect(body).to.include({outcome: 'not-run'});
			expect(await countStarts(requestId)).to.equal(0);
		},
	},
	{
		name: 'a queued request that is cancelled never runs, and a running one goes on',
		async play({submit, ask, countStarts}, requestId) {
			const running = v7();
			const blocker = submit('first', {requestId: running, payload: {milliseconds: 1000}});
			await pause(100);
			const queued = submit('first', {requestId});
			await pause(100);
			const waiting = await ask('first', 'GET', `/v1/requests/${requestId}`);
			const cancelled = await ask('first', 'DELETE', `/v1/requests/${requestId}`);
			const late = await ask('first', 'DELETE', `/v1/requests/${running}`);
			const answers = await Promise.all([queued, blocker]);
			expect(waiting.body).to.include({outcome: 'unknown', state: 'in-flight'});
			expect(cancelled.body).to.include({outcome: 'not-run', reason: 'cancelled'});
			expect(late.status).to.equal(202);
			expect(answers.map(({body}) => body['outcome'])).to.deep.equal(['not-run', 'completed']);
			expect(await countStarts(requestId)).to.equal(0);
		},
	},
	{
		name: 'identifiers that cannot be remembered are refused',
		async play({submit}) {
			const old = await submit('first', {requestId: v7({msecs: Date.now() - 700_000})});
			const ahead = await submit('first', {requestId: v7({msecs: Date.now() + 120_000})});
			const version4 = await submit('first', {requestId: '7f6b3c52-9a1e-4c3d-8f00-1a2b3c4d5e6f'});
			expect(old.body).to.include({outcome: 'not-run', reason: 'identifier-expired'});
			expect(ahead.body).to.include({outcome: 'not-run', reason: 'identifier-in-future'});
			expect(version4).to.deep.include({status: 400});
			expect(version4.body['findings']).to.deep.equal([{place: 'requestId', message: 'must be a UUID of version 7 where idempotent is false'}]);
		},
	},
	{
		name: 'an identifier that is used for another request is not answered with the first result',
		async play({submit}, requestId) {
			await submit('first', {requestId, payload: {milliseconds: 1}});
			const {body} = await submit('first', {requestId, payload: {milliseconds: 2}});
			expect(body).to.include({outcome: 'unknown', reason: 'identifier-reused'});
		},
	},
	{
		name: 'another entry finds the result of a request by its claim',
		async play({submit, ask}, requestId) {
			await submit('first', {requestId});
			const {body} = await ask('second', 'GET', `/v1/requests/${requestId}`);
			expect(body).to.include({outcome: 'completed'});
		},
	},
	{
		name: 'a leaving entry says not ready at once, answers what is in flight and exits',
		async play({submit, ask, daemons}, requestId) {
			const answer = submit('second', {requestId, payload: {milliseconds: 1200}});
			await pause(200);
			daemons.second.process.kill('SIGTERM');
			await pause(100);
			const {status} = await ask('second', 'GET', '/readyz');
			const {body} = await answer;
			expect(status).to.equal(503);
			expect(body).to.include({outcome: 'completed'});
			expect(await daemons.second.exited).to.equal(0);
		},
	},
];

describe('requests through separate processes', () => {
	let fixture: Fixture;

	before(async () => {
		fixture = await startFixture();
	});

	after(async () => {
		await fixture.close();
	});

	for (const {name, play} of cases) {
		it(name, async () => {
			await play(fixture, v7());
		});
	}
});

describe('death of an entry', () => {
	it('a request whose entry died after dispatch is answered through another entry and runs once', async () => {
		const {submit, daemons, countStarts, close} = await startFixture();
		const requestId = v7();
		const lost = submit('first', {requestId, payload: {milliseconds: 1000}});
		await pause(300);
		daemons.first.process.kill('SIGKILL');
		const {status} = await lost;
		expect(status).to.equal(0);
		const {body} = await submit('second', {requestId, payload: {milliseconds: 1000}, retry: true});
		expect(body).to.include({outcome: 'completed'});
		expect(await countStarts(requestId)).to.equal(1);
		await close();
	});
});
