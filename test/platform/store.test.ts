import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {silentLog} from '#kernel';
import {createPlatformStore} from '#platform/store.js';
import type {TransactionalStore} from '#store';
import {loopbackHost} from '#test/support/loopback';
import {servePlatformStore, type PlatformStore} from '#test/support/platform/store';

type Case = Readonly<{name: string; run(client: TransactionalStore, service: PlatformStore): Promise<void>}>;

async function grant(client: TransactionalStore, timeToLive: number): Promise<string> {
	const reply = await client.grantLease(timeToLive);
	expect(reply.kind).to.equal('granted');
	return reply.kind === 'granted' ? reply.lease : '';
}

const cases: readonly Case[] = [
	{
		name: 'the second of two writes with the same expected version fails with the current value (lost update)',
		async run(client) {
			expect(await client.write('a', {n: 1}, {expectedVersion: 0})).to.include({kind: 'written'});
			expect(await client.write('a', {n: 2}, {expectedVersion: 0})).to.deep.equal({kind: 'conflict', current: {key: 'a', value: {n: 1}, version: 1}});
		},
	},
	{
		name: 'a transaction with a failed condition changes nothing (partial transaction)',
		async run(client) {
			await client.write('a', 1, {expectedVersion: 0});
			const reply = await client.commit({conditions: [{key: 'a', expectedVersion: 9}, {key: 'b', expectedVersion: 0}], puts: [{key: 'b', value: 1}], removals: []});
			expect(reply).to.deep.equal({kind: 'conflict', current: [{key: 'a', value: 1, version: 1}]});
			expect(await client.read('b')).to.deep.equal({kind: 'absent'});
		},
	},
	{
		name: 'all pages of a range are read (missing jobs after a takeover)',
		async run(client) {
			for (const name of ['p/1', 'p/2', 'p/3', 'p/4', 'p/5', 'p/6', 'p/7', 'q/1']) {
				await client.write(name, name, {expectedVersion: 0});
			}

			const reply = await client.list('p/');
			expect(reply.kind === 'listed' ? reply.values.map(({key}) => key) : []).to.deep.equal(['p/1', 'p/2', 'p/3', 'p/4', 'p/5', 'p/6', 'p/7']);
		},
	},
	{
		name: 'a watch reports a removal once and resumes from its revision (events missed or repeated)',
		async run(client) {
			await client.write('w/a', 1, {expectedVersion: 0});
			const watching = client.watch('w/', 1, 2000);
			await client.remove('w/a', 1);
			expect(await watching).to.deep.equal({kind: 'events', revision: 2, events: [{kind: 'deleted', key: 'w/a'}]});
			expect(await client.watch('w/', 2, 50)).to.deep.equal({kind: 'events', revision: 2, events: []});
		},
	},
	{
		name: 'a watch from a compacted revision is answered as compacted (events lost without notice)',
		async run(client, service) {
			await client.write('w/a', 1, {expectedVersion: 0});
			service.compact();
			expect(await client.watch('w/', 0, 50)).to.deep.equal({kind: 'compacted'});
		},
	},
	{
		name: 'the keys of an expired lease are deleted, and writes under it are refused (dead scheduler stays elected)',
		async run(client) {
			const lease = await grant(client, 60);
			await client.write('l', 1, {expectedVersion: 0, lease});
			await new Promise(resolve => {
				setTimeout(resolve, 150);
			});
			expect(await client.read('l')).to.deep.equal({kind: 'absent'});
			expect(await client.renewLease(lease)).to.deep.equal({kind: 'lease-unknown'});
			expect(await client.write('l', 1, {expectedVersion: 0, lease})).to.deep.equal({kind: 'lease-unknown'});
		},
	},
	{
		name: 'a refused write is reported as not applied (certain refusal reported as undecided)',
		async run(client, service) {
			service.setMode('busy');
			expect(await client.write('a', 1, {expectedVersion: 0})).to.include({kind: 'unavailable', effect: 'not-applied'});
		},
	},
	{
		name: 'a write without an answer is reported as possibly applied (stored write reported as refused)',
		async run(client, service) {
			service.setMode('losing');
			expect(await client.write('a', 1, {expectedVersion: 0})).to.include({kind: 'unavailable', effect: 'perhaps-applied'});
			service.setMode('serving');
			expect(await client.read('a')).to.include({kind: 'found'});
		},
	},
	{
		name: 'a write to an unreachable store is reported as not applied (certain refusal reported as undecided)',
		async run(client, service) {
			await service.close();
			expect(await client.write('a', 1, {expectedVersion: 0})).to.include({kind: 'unavailable', effect: 'not-applied'});
		},
	},
	{
		name: 'a value that is not JSON reads as undefined and does not affect other values (value of another writer)',
		async run(client, service) {
			service.putBytes('p/1', '!!');
			service.put('p/2', 2);
			const reply = await client.list('p/');
			expect(reply.kind === 'listed' ? reply.values.map(({value}) => value) : []).to.deep.equal([undefined, 2]);
		},
	},
];

describe('client of the platform\'s store', () => {
	for (const {name, run} of cases) {
		it(name, async () => {
			const service = await servePlatformStore();
			const client = createPlatformStore(service.address, silentLog.withPrefix('store'));
			try {
				await run(client, service);
			} finally {
				await client.close();
				await service.close().catch(() => undefined);
			}
		});
	}

	it('a page without items that announces another one is no end of the list (missing jobs after a takeover)', async () => {
		const server = createServer((_request, response) => {
			response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify({items: [], has_more: true, at: 7}));
		});
		server.listen(0, loopbackHost(0));
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		const client = createPlatformStore(`${loopbackHost(0)}:${port}`, silentLog.withPrefix('store'));
		const reply = await client.list('p/');
		await client.close();
		server.close();
		expect(reply).to.include({kind: 'unavailable', effect: 'not-applied'});
	});
});
