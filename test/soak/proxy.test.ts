import {connect, createServer, type AddressInfo} from 'node:net';
import {expect} from 'chai';
import {openProxy} from '#soak/proxy';
import type {LinkMode} from '#soak/types';

type Case = Readonly<{name: string; mode: LinkMode; received: string; answered: string; isClosed: boolean}>;

const cases: readonly Case[] = [
	{
		name: 'a passing link carries both directions', mode: 'passing', received: 'question', answered: 'answer', isClosed: false,
	},
	{
		name: 'a delayed link carries both directions after a delay', mode: 'delayed', received: 'question', answered: 'answer', isClosed: false,
	},
	{
		name: 'a silent link carries nothing and stays open', mode: 'silent', received: '', answered: '', isClosed: false,
	},
	{
		name: 'a one-way link loses the response', mode: 'one-way', received: 'question', answered: '', isClosed: false,
	},
	{
		name: 'a resetting link closes the connection', mode: 'reset', received: '', answered: '', isClosed: true,
	},
];

const settleMilliseconds = 700;

describe('fault proxy of the soak', () => {
	for (const {name, mode, received, answered, isClosed} of cases) {
		it(name, async () => {
			const seen = {received: '', answered: '', isClosed: false};
			const server = createServer(socket => {
				socket.on('error', () => undefined);
				socket.on('data', data => {
					seen.received += data.toString();
					socket.write('answer');
				});
			});
			await new Promise<void>(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			const proxy = await openProxy('127.0.0.1', `127.0.0.1:${(server.address() as AddressInfo).port}`);
			proxy.setMode(mode);
			const [host = '', port = ''] = proxy.address.split(':');
			const client = connect({host, port: Number(port)});
			client.on('error', () => undefined);
			client.on('data', data => {
				seen.answered += data.toString();
			});
			client.on('close', () => {
				seen.isClosed = true;
			});
			client.write('question');
			await new Promise(resolve => {
				setTimeout(resolve, settleMilliseconds);
			});
			expect(seen).to.deep.equal({received, answered, isClosed});
			client.destroy();
			await proxy.close();
			server.close();
		});
	}
});
