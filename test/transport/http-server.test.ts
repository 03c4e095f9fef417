import {connect} from 'node:net';
import {expect} from 'chai';
import * as valibot from 'valibot';
import {createRegistry, silentLog} from '#kernel';
import {listenForHttp, maximumBodyBytes, type HttpListener} from '#transport';

const registry = createRegistry<Readonly<Record<string, never>>>('test');
registry.register({
	kind: 'http-route',
	name: 'echo',
	method: 'POST',
	path: '/echo/:word',
	bodySchema: valibot.object({count: valibot.number('must be a number'), inner: valibot.object({name: valibot.string('must be text')})}),
	handle: async ({parameters, body}) => ({kind: 'json', status: 200, body: {word: parameters['word'], body}}),
});

type Case = Readonly<{name: string; path: string; method: string; body: string; status: number; expected: Readonly<Record<string, unknown>>}>;

const validBody = JSON.stringify({count: 1, inner: {name: 'a'}});

const cases: readonly Case[] = [
	{
		name: 'a valid request is passed to its handler', path: '/echo/hello%20there', method: 'POST', body: validBody, status: 200, expected: {word: 'hello there'},
	},
	{
		name: 'a body that is not JSON is rejected with its location', path: '/echo/a', method: 'POST', body: '{', status: 400,
		expected: {reason: 'invalid-request', findings: [{place: 'body', message: 'must be JSON'}]},
	},
	{
		name: 'all invalid fields are reported together', path: '/echo/a', method: 'POST', body: '{"count":"x","inner":{"name":3}}', status: 400, expected: {
			findings: [{place: 'count', message: 'must be a number'}, {place: 'inner.name', message: 'must be text'}],
		},
	},
	{
		name: 'a body over the size limit is rejected', path: '/echo/a', method: 'POST', body: ' '.repeat(maximumBodyBytes + 1), status: 413, expected: {reason: 'body-too-large'},
	},
	{
		name: 'an unknown path is rejected', path: '/nowhere', method: 'POST', body: validBody, status: 404, expected: {reason: 'not-found'},
	},
	{
		name: 'a malformed percent-encoding in a path is rejected', path: '/echo/%zz', method: 'POST', body: validBody, status: 404, expected: {reason: 'not-found'},
	},
	{
		name: 'a wrong method is rejected with a list of the allowed methods', path: '/echo/a', method: 'PUT', body: validBody, status: 405, expected: {allowed: ['POST']},
	},
];

describe('HTTP server', () => {
	let listener: HttpListener;
	const refusals: string[] = [];

	before(async () => {
		listener = await listenForHttp('127.0.0.1', 0, {
			routes: registry.httpRoutes(), context: {}, log: silentLog.withPrefix('http'), countRefusal(reason) {
				refusals.push(reason);
			},
		});
	});

	after(async () => {
		await listener.drain();
	});

	for (const {
		name, path, method, body, status, expected,
	} of cases) {
		it(name, async () => {
			const response = await fetch(`http://127.0.0.1:${listener.port}${path}`, {method, body, headers: {connection: 'close'}});
			expect(response.status).to.equal(status);
			expect(await response.json()).to.deep.include(expected);
		});
	}

	it('refusals are counted by reason', () => {
		expect(refusals).to.include.members(['invalid-request', 'body-too-large', 'not-found', 'method-not-allowed']);
	});

	it('headers over the size limit are rejected', async () => {
		const socket = connect(listener.port, '127.0.0.1');
		socket.write(`GET /echo/a HTTP/1.1\r\nhost: a\r\nlarge: ${'x'.repeat(20_000)}\r\n\r\n`);
		const response = await new Promise<string>(resolve => {
			socket.once('data', data => {
				resolve(data.toString());
			});
		});
		socket.destroy();
		expect(response).to.match(/^HTTP\/1\.1 431 /);
	});
});
