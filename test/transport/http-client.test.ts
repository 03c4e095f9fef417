import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {createHttpClient, type HttpResult} from '#transport';

const timeoutMilliseconds = 300;
const half = '"first half,';

type Case = Readonly<{name: string; result: Partial<HttpResult>; atMost: number; serve(response: ServerResponse): void}>;

const cases: readonly Case[] = [
	{
		name: 'a response that keeps arriving completes after the timeout (slow transfer begun anew for ever)',
		serve(response) {
			response.write(half);
			for (const delay of [200, 400, 600]) {
				setTimeout(() => {
					response.write('more,');
				}, delay);
			}

			setTimeout(() => {
				response.end('end"');
			}, 800);
		},
		result: {kind: 'answered', status: 200, body: 'first half,more,more,more,end'},
		atMost: 2000,
	},
	{
		name: 'a response that stops half way fails after the timeout (connection that went silent)',
		serve(response) {
			response.write(half);
		},
		result: {kind: 'failed', delivery: 'perhaps-sent', message: `no data for ${timeoutMilliseconds} ms, ${half.length} bytes of the response were received`},
		atMost: (2 * timeoutMilliseconds) + 300,
	},
	{
		name: 'no response fails after the timeout (silent server)',
		serve() {
			// The request stays without a response.
		},
		result: {kind: 'failed', delivery: 'perhaps-sent', message: `no data for ${timeoutMilliseconds} ms, 0 bytes of the response were received`},
		atMost: timeoutMilliseconds + 300,
	},
];

describe('timeout of HTTP calls', () => {
	let server: Server;
	let serve: Case['serve'] = () => undefined;

	before(async () => {
		server = createServer((_request, response) => {
			serve(response);
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
	});

	after(() => {
		server.closeAllConnections();
		server.close();
	});

	for (const {name, serve: serveCase, result, atMost} of cases) {
		it(name, async () => {
			serve = serveCase;
			const client = createHttpClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, 1);
			const startedAt = Date.now();
			expect(await client.send('GET', '/', {timeout: timeoutMilliseconds})).to.deep.include(result);
			expect(Date.now() - startedAt).to.be.below(atMost);
			await client.close();
		});
	}
});
