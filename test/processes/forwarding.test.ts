import {expect} from 'chai';
import {v7} from 'uuid';
import {configurationKey} from '#configuration';
import type {EntryId, PlanName, RequestId} from '#core';
import {createRegistry, silentLog, systemClock} from '#kernel';
import {createHttpStore} from '#store';
import {
	connectToPeer, createHttpClient, type HttpClient, type RpcPeer,
} from '#transport';
import {
	killAll, startDaemon, waitFor, type Daemon,
} from '#test/support/processes';

const timeout = 15_000;
const configuration = {
	plans: [{name: 'rosters'}], allowances: [{plan: 'rosters', maximumSlots: 8}], revision: 1, changeId: 'first', changedBy: 'test', changedAt: 0,
};

type Case = Readonly<{name: string; from: 'near' | 'far' | 'limited'; idempotent: boolean; expected: Readonly<Record<string, unknown>>}>;

const cases: readonly Case[] = [
	{
		name: 'a zone without workers forwards within the region', from: 'near', idempotent: true, expected: {outcome: 'completed'},
	},
	{
		name: 'a forwarded non-idempotent request is claimed where it runs', from: 'near', idempotent: false, expected: {outcome: 'completed'},
	},
	{
		name: 'a region without workers forwards across the link', from: 'far', idempotent: false, expected: {outcome: 'completed'},
	},
	{
		name: 'a link without room refuses instead of queueing', from: 'limited', idempotent: true, expected: {outcome: 'not-run', reason: 'link-limited'},
	},
];

describe('forwarding between entries', () => {
	const daemons: Daemon[] = [];
	let home = '';
	const clients: Partial<Record<Case['from'], HttpClient>> = {};

	before(async () => {
		const store = await startDaemon('stand-in-store', {'listen-port': 0});
		const worker = await startDaemon('stand-in-worker', {'listen-port': 0});
		const origin = `http://127.0.0.1:${store.ports['http']}`;
		const keyValueStore = createHttpStore(origin);
		await keyValueStore.write(configurationKey, configuration, {expectedVersion: 0});
		await keyValueStore.close();
		const common = {
			'store-origin': origin, 'listen-port': 0, 'peer-port': 0, 'log-level': 'error',
		};
		const homeEntry = await startDaemon('dotterelnotch-entry', {
			...common, entry: 'home', region: 'north', zone: 'north-a',
		});
		const agent = await startDaemon('dotterelnotch-agent', {
			worker: 'worker-1', region: 'north', zone: 'north-a', rack: 'rack-1', 'worker-origin': `http://127.0.0.1:${worker.ports['http']}`, entries: `127.0.0.1:${homeEntry.ports['peers']}`, 'log-level': 'error',
		});
		daemons.push(store, worker, homeEntry, agent);
		home = `127.0.0.1:${homeEntry.ports['peers']}`;
		const others = [
			['near', {region: 'north', zone: 'north-b'}], ['far', {region: 'south', zone: 'south-a'}], ['limited', {region: 'south', zone: 'south-b', 'forward-bytes-per-second': 0}],
		] as const;
		for (const [entry, settings] of others) {
			const daemon = await startDaemon('dotterelnotch-entry', {
				...common, ...settings, entry, peers: home,
			});
			daemons.push(daemon);
			clients[entry] = createHttpClient(`http://127.0.0.1:${daemon.ports['http']}`, 2);
		}

		const caller = createHttpClient(`http://127.0.0.1:${homeEntry.ports['http']}`, 1);
		await waitFor('a worker', async () => {
			const reply = await caller.send('POST', '/v1/requests', {
				body: {
					requestId: v7(), plan: 'rosters', kind: 'roster', idempotent: true, payload: {},
				}, timeout,
			});
			return reply.kind === 'answered' && reply.status === 200 ? true : undefined;
		});
		await caller.close();
	});

	after(async () => {
		await Promise.all(Object.values(clients).map(async client => client.close()));
		await killAll(daemons);
	});

	for (const plan of ['rosters', 'only-at-the-sender']) {
		it(`a forwarded request of plan ${plan} runs by the configuration of the entry that took it (its callers are refused by another version)`, async () => {
			const peer = await waitFor('connection', async () => connectToPeer(home, {
				registry: createRegistry<undefined, RpcPeer>('test'), context: undefined, clock: systemClock, log: silentLog.withPrefix('test'),
			}));
			const reply = await peer.call('peer.forward', {
				work: {
					requestId: v7() as RequestId, plan: plan as PlanName, kind: 'roster', idempotent: true, payload: {milliseconds: 5},
				}, from: 'other' as EntryId, hops: 1,
			}, timeout);
			expect(reply).to.deep.include({kind: 'answered'});
			expect(reply.kind === 'answered' ? reply.result.kind : reply.message).to.equal('ran');
			peer.close('test ended');
		});
	}

	for (const {name, from, idempotent, expected} of cases) {
		it(name, async () => {
			const body = await waitFor('the connection to the home entry', async () => {
				const reply = await clients[from]?.send('POST', '/v1/requests', {
					body: {
						requestId: v7(), plan: 'rosters', kind: 'roster', idempotent, payload: {milliseconds: 5},
					}, timeout,
				});
				const answer = reply?.kind === 'answered' ? reply.body as Readonly<Record<string, unknown>> : undefined;
				return answer === undefined || ['no-worker-available', 'no-configuration'].includes(String(answer['reason'])) ? undefined : answer;
			});
			expect(body).to.deep.include(expected);
		});
	}
});
