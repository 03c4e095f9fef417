import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import type {
	AgentAnswer, Incarnation, PlanName, RequestId,
} from '#core';
import type {FindResult, Slice} from '#protocol';
import {createHttpClient, type HttpClient, type RpcPeer} from '#transport';
import {startFakeEntry, type FakeEntry} from '#test/support/fake-entry';
import {
	killAll, startDaemon, waitFor, type Daemon,
} from '#test/support/processes';

const timeout = 15_000;
const createSlice = (configurationRevision: number): Slice => ({
	configurationRevision, layoutRevision: 0, cells: [], plans: [{
		plan: 'rosters' as PlanName, weight: 1, maximumSlots: 8, maximumQueued: 100,
	}],
});

type Cluster = Readonly<{
	entry: FakeEntry;
	agent: Daemon;
	worker: HttpClient;
	/** The agent's present connection and incarnation. */
	present(): Readonly<{peer: RpcPeer; incarnation: Incarnation}>;
}>;
type Case = Readonly<{name: string; observe: (cluster: Cluster) => Promise<unknown>; expected: unknown}>;

let serial = 0;
const createIdentifier = () => {
	const time = Date.now().toString(16).padStart(12, '0');
	return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${String(serial++).padStart(12, '0')}` as RequestId;
};

async function run(cluster: Cluster, requestId: RequestId, milliseconds: number): Promise<string> {
	const {peer, incarnation} = cluster.present();
	const reply = await peer.call('request.run', {
		work: {
			requestId, plan: 'rosters', kind: 'roster', idempotent: false, payload: {milliseconds},
		}, incarnation, serviceClass: 'short', estimatedMilliseconds: milliseconds,
	}, timeout);
	return reply.kind === 'answered' ? describeAnswer(reply.result) : reply.reason;
}

function describeAnswer(answer: AgentAnswer): string {
	return answer.kind === 'ran' ? answer.result.status : `${answer.kind} ${answer.reason}`;
}

async function find(cluster: Cluster, requestId: RequestId): Promise<FindResult | undefined> {
	const reply = await cluster.present().peer.call('request.find', {requestId}, 1000);
	return reply.kind === 'answered' ? reply.result : undefined;
}

const cases: readonly Case[] = [
	{
		name: 'a drain cuts off running requests, takes new ones, or says nothing to the entries',
		async observe(cluster) {
			const running = Array.from({length: 8}, async () => run(cluster, createIdentifier(), 1000));
			await delay(200);
			cluster.agent.process.kill('SIGTERM');
			await waitFor('the notice of leaving', async () => cluster.entry.leaving.length > 0 ? true : undefined);
			const late = await run(cluster, createIdentifier(), 5);
			return [[...new Set(await Promise.all(running))], late, await cluster.agent.exited];
		},
		expected: [['succeeded'], 'refused draining', 0],
	},
	{
		name: 'an answer whose connection broke is lost',
		async observe(cluster) {
			const requestId = createIdentifier();
			const answer = run(cluster, requestId, 500);
			await delay(100);
			cluster.present().peer.close('the entry closes the connection');
			await waitFor('a second announcement', async () => cluster.entry.announcements.length > 1 ? true : undefined);
			const found = await waitFor('the answer in the ledger', async () => {
				const result = await find(cluster, requestId);
				return result?.kind === 'answered' ? result : undefined;
			});
			return [await answer, describeAnswer(found.answer), await run(cluster, requestId, 500)];
		},
		expected: ['connection-lost', 'succeeded', 'succeeded'],
	},
	{
		name: 'a draining agent exits with an answer whose connection broke',
		async observe(cluster) {
			const requestId = createIdentifier();
			const answer = run(cluster, requestId, 300);
			await delay(100);
			cluster.agent.process.kill('SIGTERM');
			cluster.present().peer.close('the entry closes the connection');
			await delay(1500);
			const found = await find(cluster, requestId);
			return [await answer, found?.kind, await cluster.agent.exited];
		},
		expected: ['connection-lost', 'answered', 0],
	},
	{
		name: 'a start whose answer was lost is reported as not run, or is started again',
		async observe(cluster) {
			await cluster.worker.send('POST', '/switches', {body: {loseStartAnswers: true}, timeout: 1000});
			const requestId = createIdentifier();
			const answer = await run(cluster, requestId, 100);
			const records = await cluster.worker.send('GET', '/records', {timeout: 1000});
			const {records: events} = (records.kind === 'answered' ? records.body : {}) as Readonly<{records: ReadonlyArray<Readonly<{event: string}>>}>;
			return [answer, events.map(({event}) => event)];
		},
		expected: ['succeeded', ['started', 'ended']],
	},
	{
		name: 'a task that the worker lost is reported as run or as not run',
		async observe(cluster) {
			await cluster.worker.send('POST', '/switches', {body: {pauseEnds: true}, timeout: 1000});
			const requestId = createIdentifier();
			const answer = run(cluster, requestId, 10);
			await delay(200);
			await cluster.worker.send('POST', `/tasks/${requestId}/stop`, {body: {}, timeout: 1000});
			return answer;
		},
		expected: 'interrupted lease-lapsed',
	},
	{
		name: 'an agent takes a configuration of a lower revision, or does not report the one in force',
		async observe({entry}) {
			entry.offer(createSlice(5));
			await waitFor('revision 5', async () => entry.reports.find(({configurationRevision}) => configurationRevision === 5));
			entry.offer(createSlice(4));
			const before = entry.reports.length;
			await waitFor('two more reports', async () => entry.reports.length >= before + 2 ? true : undefined);
			// A report that leaves the revision out says that the last one named is still in force.
			return entry.reports.flatMap(report => report.configurationRevision ?? []).at(-1);
		},
		expected: 5,
	},
];

describe('agent as a process', () => {
	for (const {name, observe, expected} of cases) {
		it(name, async () => {
			const entry = await startFakeEntry('entry-1');
			const worker = await startDaemon('stand-in-worker', {'listen-port': 0});
			const workerOrigin = `http://127.0.0.1:${worker.ports['http']}`;
			const agent = await startDaemon('dotterelnotch-agent', {
				worker: 'worker-1', region: 'north', zone: 'north-a', rack: 'rack-1', 'worker-origin': workerOrigin, entries: `127.0.0.1:${entry.port}`, 'log-level': 'error',
			});
			const workerClient = createHttpClient(workerOrigin, 2);
			await waitFor('an announcement', async () => entry.announcements.at(0));
			const present = () => {
				const last = entry.announcements.at(-1);
				if (last === undefined) {
					throw new Error('no agent has announced itself');
				}

				return {peer: last.peer, incarnation: last.parameters.incarnation};
			};

			try {
				expect(await observe({
					entry, agent, worker: workerClient, present,
				})).to.deep.equal(expected);
			} finally {
				await workerClient.close();
				entry.close();
				await killAll([agent, worker]);
			}
		});
	}
});
