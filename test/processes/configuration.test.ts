import {execFile} from 'node:child_process';
import {expect} from 'chai';
import {configurationKey} from '#configuration';
import {createHttpStore, type KeyValueStore} from '#store';
import {createHttpClient} from '#transport';
import {
	killAll, startDaemon, waitFor, type Daemon,
} from '#test/support/processes';

const timeout = 2000;

async function ask(origin: string, path: string): Promise<Readonly<Record<string, unknown>> | undefined> {
	const client = createHttpClient(origin, 1);
	const reply = await client.send('GET', path, {timeout});
	await client.close();
	return reply.kind === 'answered' && reply.status === 200 ? reply.body as Readonly<Record<string, unknown>> : undefined;
}

const originOf = (daemon: Daemon) => `http://127.0.0.1:${daemon.ports['http']}`;

type Fixture = Readonly<{
	store: KeyValueStore;
	storeOrigin: string;
	switchOutage(outage: boolean): Promise<void>;
	startEntry(entry: string, peers: readonly Daemon[]): Promise<Daemon>;
	startAgent(entry: Daemon): Promise<Daemon>;
	write(revision: number): Promise<void>;
}>;

async function revisionOf(daemon: Daemon): Promise<number | undefined> {
	const body = await ask(originOf(daemon), '/v1/configuration');
	return body?.['revision'] as number | undefined;
}

async function waitForRevision(daemon: Daemon, revision: number): Promise<void> {
	await waitFor(`revision ${revision}`, async () => await revisionOf(daemon) === revision ? true : undefined);
}

async function waitForPeers(daemon: Daemon, expected: readonly string[]): Promise<void> {
	await waitFor(`peers ${expected.join(', ')}`, async () => {
		const fleet = await ask(originOf(daemon), '/v1/fleet');
		const peers = fleet?.['peers'] as ReadonlyArray<Readonly<{entry: string; isConnected: boolean}>> | undefined;
		const connected = peers?.filter(({isConnected}) => isConnected).map(({entry}) => entry).toSorted();
		return JSON.stringify(connected) === JSON.stringify(expected) ? true : undefined;
	});
}

type Case = Readonly<{name: string; run(fixture: Fixture): Promise<void>}>;

const cases: readonly Case[] = [
	{
		name: 'an entry restarted during an outage takes the newest revision from its peers and none goes back',
		async run({startEntry, write, switchOutage}) {
			const first = await startEntry('entry-1', []);
			const second = await startEntry('entry-2', []);
			const third = await startEntry('entry-3', []);
			await write(1);
			await write(2);
			await Promise.all([first, second, third].map(async entry => waitForRevision(entry, 2)));
			await waitForPeers(first, ['entry-2', 'entry-3']);
			await waitForPeers(third, ['entry-1', 'entry-2']);
			await switchOutage(true);
			await killAll([second]);
			const restarted = await startEntry('entry-2', [first]);
			const seen = new Set<number>();
			await waitFor('the revision of the peers', async () => {
				const revision = await revisionOf(restarted);
				seen.add(revision ?? 0);
				return revision === 2 ? true : undefined;
			});
			expect([...seen].every(revision => revision === 0 || revision === 2)).to.equal(true);
			// It learns of the third entry from the first one.
			await waitForPeers(restarted, ['entry-1', 'entry-3']);
			await switchOutage(false);
			await write(3);
			await Promise.all([first, restarted, third].map(async entry => waitForRevision(entry, 3)));
		},
	},
	{
		name: 'a lower revision in the store, as after a restored backup, is not taken',
		async run({startEntry, store, write}) {
			const entry = await startEntry('entry-1', []);
			await write(5);
			await waitForRevision(entry, 5);
			await write(4);
			const after = await store.read(configurationKey);
			expect(after.kind === 'found' && after.stored.value).to.include({revision: 4});
			await new Promise(resolve => {
				setTimeout(resolve, 500);
			});
			expect(await revisionOf(entry)).to.equal(5);
		},
	},
	{
		name: 'a planned stop takes the entry out of the store at once',
		async run({startEntry, store}) {
			const entry = await startEntry('entry-1', []);
			await waitFor('registration', async () => {
				const reply = await store.read('entries/north-a/entry-1');
				return reply.kind === 'found' ? reply : undefined;
			});
			entry.process.kill('SIGTERM');
			expect(await entry.exited).to.equal(0);
			expect(await store.read('entries/north-a/entry-1')).to.deep.equal({kind: 'absent'});
		},
	},
	{
		name: 'put --wait ends only when entries and agents have the revision, within the 13 s that it may take',
		async run({startEntry, startAgent, storeOrigin}) {
			const first = await startEntry('entry-1', []);
			const second = await startEntry('entry-2', []);
			await startAgent(first);
			await waitForPeers(first, ['entry-2']);
			await waitForAgents(first, 1);
			await waitForAgents(second, 1);
			const put = await runProgram(['put', 'examples/maracas-bay-snowcraft-academy.yaml', '--wait', '--wait-seconds=13', `--store-origin=${storeOrigin}`]);
			expect(put, put.errors).to.include({exitCode: 0});
			expect(put.output.trimEnd().split('\n').at(-1)).to.equal('revision 1 is in force on 2 of 2 entries and 1 of 1 agents');
			const fleet = await runProgram(['fleet', '--agents', `--entry-origin=${originOf(first)}`]);
			expect(fleet.output).to.match(/entry-2 +north +north-a +1 +available +1 of 1 +1 +1: 1/);
			expect(fleet.output).to.match(/worker-1 +north-a +rack-1 +present +1/);
			// A zone without an entry cannot be checked, which is said rather than passed over.
			const validate = await runProgram(['validate', 'examples/clonado-remoto-andino.yaml', `--entry-origin=${originOf(first)}`]);
			expect(validate.output).to.include('could not be checked in cusco-a, cusco-b, puno-a');
		},
	},
];

async function waitForAgents(daemon: Daemon, expected: number): Promise<void> {
	await waitFor(`${expected} agents`, async () => {
		const fleet = await ask(originOf(daemon), '/v1/fleet');
		return (fleet?.['agents'] as readonly unknown[] | undefined)?.length === expected ? true : undefined;
	});
}

/** Runs the command line as a process of its own. */
async function runProgram(words: readonly string[]): Promise<Readonly<{exitCode: number | null; output: string; errors: string}>> {
	return new Promise(resolve => {
		const child = execFile(process.execPath, ['dist/dotterelnotch.mjs', ...words], (_error, output, errors) => {
			resolve({exitCode: child.exitCode, output, errors});
		});
	});
}

describe('configuration across entries', () => {
	for (const {name, run} of cases) {
		it(name, async () => {
			const daemons: Daemon[] = [];
			const service = await startDaemon('stand-in-store', {'listen-port': 0});
			daemons.push(service);
			const store = createHttpStore(originOf(service));
			const control = createHttpClient(originOf(service), 1);
			try {
				await run({
					store,
					storeOrigin: originOf(service),
					async switchOutage(outage) {
						await control.send('POST', '/switches', {body: {outage}, timeout});
					},
					async startEntry(entry, peers) {
						const daemon = await startDaemon('dotterelnotch-entry', {
							entry, region: 'north', zone: 'north-a', 'store-origin': originOf(service), 'listen-port': 0, 'peer-port': 0,
							peers: peers.map(({ports}) => `127.0.0.1:${ports['peers']}`).join(','), 'log-level': 'error',
						});
						daemons.push(daemon);
						return daemon;
					},
					async startAgent(entry) {
						const worker = await startDaemon('stand-in-worker', {'listen-port': 0});
						const agent = await startDaemon('dotterelnotch-agent', {
							worker: 'worker-1', region: 'north', zone: 'north-a', rack: 'rack-1', 'log-level': 'error',
							'worker-origin': originOf(worker), entries: `127.0.0.1:${entry.ports['peers']}`,
						});
						daemons.push(worker, agent);
						return agent;
					},
					async write(revision) {
						const present = await store.read(configurationKey);
						await store.write(configurationKey, {
							plans: [], allowances: [], revision, changeId: `change-${revision}`, changedBy: 'test', changedAt: 0,
						}, {expectedVersion: present.kind === 'found' ? present.stored.version : 0});
					},
				});
			} finally {
				await control.close();
				await store.close();
				await killAll(daemons);
			}
		});
	}
});
