import {expect} from 'chai';
import {configurationKey} from '#configuration';
import {createHttpStore} from '#store';
import {createHttpClient, type HttpClient} from '#transport';
import {
	killAll, startDaemon, waitFor, type Daemon,
} from '#test/support/processes';

const timeout = 10_000;
const configuration = {
	plans: [{name: 'rosters'}], allowances: [{plan: 'rosters', maximumSlots: 8}], revision: 1, changeId: 'first', changedBy: 'test', changedAt: 0,
};

type Case = Readonly<{name: string; body: unknown; status: number; expected: Readonly<Record<string, unknown>>}>;

const cases: readonly Case[] = [
	{
		name: 'returns the whole result of a request that ran',
		body: {
			requestId: '01890a5d-ac96-774b-bcce-b302099a8057', plan: 'rosters', kind: 'roster', idempotent: true, payload: {milliseconds: 5},
		},
		status: 200,
		expected: {outcome: 'completed', status: 'succeeded', body: {echo: {milliseconds: 5}}},
	},
	{
		name: 'refuses a plan that the operators did not create',
		body: {
			requestId: '01890a5d-ac96-774b-bcce-b302099a8058', plan: 'nobody', kind: 'roster', idempotent: true, payload: {},
		},
		status: 403,
		expected: {outcome: 'not-run', reason: 'unknown-plan'},
	},
	{
		name: 'names every invalid field of a body at once',
		body: {
			requestId: 'seven', plan: '', kind: 'roster', idempotent: 'perhaps', payload: {},
		},
		status: 400,
		expected: {reason: 'invalid-request'},
	},
];

describe('path of a request through separate processes', () => {
	const daemons: Daemon[] = [];
	let caller: HttpClient;

	before(async () => {
		const store = await startDaemon('stand-in-store', {'listen-port': 0});
		const worker = await startDaemon('stand-in-worker', {'listen-port': 0});
		const storeOrigin = `http://127.0.0.1:${store.ports['http']}`;
		const entry = await startDaemon('dotterelnotch-entry', {
			entry: 'entry-1', region: 'north', zone: 'north-a', 'store-origin': storeOrigin, 'listen-port': 0, 'peer-port': 0, 'log-level': 'error',
		});
		const agent = await startDaemon('dotterelnotch-agent', {
			worker: 'worker-1', region: 'north', zone: 'north-a', rack: 'rack-1', 'worker-origin': `http://127.0.0.1:${worker.ports['http']}`, entries: `127.0.0.1:${entry.ports['peers']}`, 'log-level': 'error',
		});
		daemons.push(store, worker, entry, agent);
		const keyValueStore = createHttpStore(storeOrigin);
		await keyValueStore.write(configurationKey, configuration, {expectedVersion: 0});
		await keyValueStore.close();
		caller = createHttpClient(`http://127.0.0.1:${entry.ports['http']}`, 4);
		await waitFor('a worker and a configuration', async () => {
			const reply = await caller.send('POST', '/v1/requests', {
				body: {
					requestId: '01890a5d-ac96-774b-bcce-b302099a8000', plan: 'rosters', kind: 'roster', idempotent: true, payload: {},
				}, timeout,
			});
			return reply.kind === 'answered' && reply.status === 200 ? reply : undefined;
		});
	});

	after(async () => {
		await caller.close();
		await killAll(daemons);
	});

	for (const {name, body, status, expected} of cases) {
		it(name, async () => {
			const reply = await caller.send('POST', '/v1/requests', {body, timeout});
			expect(reply).to.include({kind: 'answered', status});
			expect((reply as Readonly<{body: Record<string, unknown>}>).body).to.deep.include(expected);
		});
	}
});
