import {expect} from 'chai';
import {
	createCounters, createRegistry, silentLog, type LogLevel,
} from '#kernel';
import {
	createHttpClient, listenForHttp, registerOperatorRoutes, type HttpClient, type OperatorRoutesContext, type Readiness,
} from '#transport';

type Case = Readonly<{name: string; readiness: Readiness; call: (client: HttpClient) => Promise<unknown>; expected: Readonly<Record<string, unknown>>; levels?: readonly LogLevel[]}>;

const timeout = 1000;
const cases: readonly Case[] = [
	{
		name: 'a draining program stays healthy, so that it is not restarted before its last request has finished',
		readiness: {kind: 'not-ready', reason: 'draining'},
		call: async client => client.send('GET', '/healthz', {timeout}),
		expected: {status: 200},
	},
	{
		name: 'a draining program is not ready, so that the load balancer sends no new work',
		readiness: {kind: 'not-ready', reason: 'draining'},
		call: async client => client.send('GET', '/readyz', {timeout}),
		expected: {status: 503, body: {status: 'not-ready', reason: 'draining'}},
	},
	{
		name: 'a program that accepts work is ready',
		readiness: {kind: 'ready'},
		call: async client => client.send('GET', '/readyz', {timeout}),
		expected: {status: 200},
	},
	{
		name: 'an unknown log level is rejected and changes nothing',
		readiness: {kind: 'ready'},
		call: async client => client.send('PUT', '/v1/log-level', {body: {level: 'loud'}, timeout}),
		expected: {status: 400},
	},
	{
		name: 'the log level can be changed without a restart',
		readiness: {kind: 'ready'},
		call: async client => client.send('PUT', '/v1/log-level', {body: {level: 'debug'}, timeout}),
		expected: {status: 200, body: {level: 'debug'}},
		levels: ['debug'],
	},
];

describe('operator routes of a daemon', () => {
	for (const {
		name, readiness, call, expected, levels: expectedLevels = [],
	} of cases) {
		it(name, async () => {
			const levels: LogLevel[] = [];
			const registry = createRegistry<OperatorRoutesContext>('test');
			registerOperatorRoutes(registry, () => readiness);
			const log = {...silentLog, setLevel: (level: LogLevel) => levels.push(level)};
			const listener = await listenForHttp('127.0.0.1', 0, {
				routes: registry.httpRoutes(), context: {log, counters: createCounters()}, log: silentLog.withPrefix('http'), countRefusal() {/* Not tested here. */},
			});
			const client = createHttpClient(`http://127.0.0.1:${listener.port}`, 1);
			expect(await call(client)).to.deep.include(expected);
			expect(levels).to.deep.equal(expectedLevels);
			await client.close();
			await listener.drain();
		});
	}
});
