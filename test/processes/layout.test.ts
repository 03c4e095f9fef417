import {expect} from 'chai';
import {configurationKey} from '#configuration';
import {layoutSchema} from '#placement';
import {createHttpStore} from '#store';
import {createHttpClient} from '#transport';
import {
	killAll, startDaemon, waitFor, type Daemon,
} from '#test/support/processes';
import * as valibot from 'valibot';

const guarantee = (accelerators: number) => [{
	zone: 'north-a', adjacency: 'worker', accelerators, count: 1,
}];

describe('layout of a zone through separate processes', () => {
	const daemons: Daemon[] = [];

	after(async () => killAll(daemons));

	it('two entries agree on one layout, a guarantee that no worker can hold is found, and a new agent gets its cells while the store is down', async () => {
		const store = await startDaemon('stand-in-store', {'listen-port': 0});
		daemons.push(store);
		const storeOrigin = `http://127.0.0.1:${store.ports['http']}`;
		const worker = await startDaemon('stand-in-worker', {'listen-port': 0});
		daemons.push(worker);
		const shared = {region: 'north', zone: 'north-a', 'log-level': 'error'};
		const entryAddresses: string[] = [];
		for (const entry of ['entry-1', 'entry-2']) {
			const daemon = await startDaemon('dotterelnotch-entry', {
				...shared, entry, 'store-origin': storeOrigin, 'listen-port': 0, 'peer-port': 0,
			});
			daemons.push(daemon);
			entryAddresses.push(`127.0.0.1:${daemon.ports['peers']}`);
		}

		const startAgent = async () => startDaemon('dotterelnotch-agent', {
			...shared, worker: 'worker-1', rack: 'rack-1', 'worker-origin': `http://127.0.0.1:${worker.ports['http']}`, entries: entryAddresses.join(','), accelerators: 8,
		});
		const agent = await startAgent();
		daemons.push(agent);
		const keyValueStore = createHttpStore(storeOrigin);
		await keyValueStore.write(configurationKey, {
			plans: [{name: 'rosters'}], allowances: [{plan: 'rosters', guarantees: guarantee(4)}], revision: 1, changeId: 'first', changedBy: 'test', changedAt: 0,
		}, {expectedVersion: 0});
		const layout = await waitFor('a stored layout', async () => {
			const reply = await keyValueStore.read('layout/north-a');
			return reply.kind === 'found' ? valibot.parse(layoutSchema, reply.stored.value) : undefined;
		});
		await keyValueStore.close();
		expect(layout.revision).to.equal(1);
		expect(layout.cells.map(({parts}) => parts)).to.deep.equal([[{worker: 'worker-1', accelerators: [0, 1, 2, 3]}]]);

		const caller = createHttpClient(`http://127.0.0.1:${daemons[2]!.ports['http']}`, 1);
		const lists = {plans: [{name: 'rosters'}], allowances: [{plan: 'rosters', guarantees: guarantee(9)}]};
		const checked = await caller.send('POST', '/v1/configuration/check', {body: lists, timeout: 5000});
		expect(checked).to.have.property('status', 200);
		expect(checked).to.have.nested.property('body.findings[0].place', 'allowances[0].guarantees[0]');

		const waitForSlice = async () => waitFor('an agent with the layout in force', async () => {
			const reply = await caller.send('GET', '/v1/fleet', {timeout: 5000});
			const body = reply.kind === 'answered' ? reply.body as Readonly<{agentsByLayoutRevision: unknown}> : undefined;
			return JSON.stringify(body?.agentsByLayoutRevision) === '{"1":1}' ? body : undefined;
		});
		await waitForSlice();
		await killAll([store, agent]);
		await waitFor('the loss of the agent', async () => {
			const reply = await caller.send('GET', '/v1/fleet', {timeout: 5000});
			return reply.kind === 'answered' && JSON.stringify(reply.body).includes('"agentsByLayoutRevision":{}') ? reply : undefined;
		});
		daemons.push(await startAgent());
		await waitForSlice();
		await caller.close();
	});
});
