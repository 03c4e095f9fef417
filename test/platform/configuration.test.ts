import {expect} from 'chai';
import type {EntryId} from '#core';
import {createRegistry, silentLog, systemClock} from '#kernel';
import {methods, type MethodName} from '#protocol';
import {
	connectToPeer, listenForPeers, type PeerListener, type RpcPeer,
} from '#transport';
import {loopbackHost} from '#test/support/loopback';
import {waitFor} from '#test/support/processes';
import {
	apiKey, callFront, describeManifest, manifestKey, type QueueDescription,
} from '#test/support/platform/caller';
import {startDeployment, type Deployment} from '#test/support/platform/deployment';

const queue: QueueDescription = {
	name: 'urgent', priority: 0, attempts: 3, stretch: 1.5, targetMilliseconds: 600,
};

/** A configuration of about 0.8 MB, which grows by a third when the store sends it. Two of them take 2.5 s over the slow link. */
const describeLargeManifest = (version: number, name: string) => describeManifest(version, [
	{...queue, name}, ...Array.from({length: 3700}, (_, index) => ({...queue, name: `${name}-${index.toString(36).padStart(24, 'x')}`})),
]);

/** Rate of the slowest links between entries and the store, 7 Mbit/s. */
const slowBytesPerSecond = 875_000;
/** Size of an exchange that does not grow with the configuration. */
const maximumExchangeBytes = 4000;
/** Time within which a confirmed configuration has to be in force. */
const applyMilliseconds = 4000;

async function waitForQueue(deployment: Deployment, name: string, timeout?: number): Promise<void> {
	await waitFor(`queue ${name}`, async () => {
		const answer = await deployment.call(0, 'GET', `/${name}/`);
		return answer?.status === 200 ? true : undefined;
	}, timeout);
}

/** Connects as another entry would. */
async function connectAsEntry(deployment: Deployment, entry: number): Promise<RpcPeer> {
	const address = `${loopbackHost(entry)}:${deployment.entries[entry]?.daemon.ports['peers'] ?? 0}`;
	return waitFor('connection', async () => connectToPeer(address, {
		registry: createRegistry<undefined, RpcPeer>('test'), context: undefined, clock: systemClock, log: silentLog.withPrefix('test'),
	}));
}

/** An entry that has a newer configuration without any route, and cannot send it. */
async function startNewerEntry(): Promise<PeerListener> {
	const registry = createRegistry<undefined, RpcPeer>('newer-entry');
	const answers = {
		'entry.exchange': {configurationVersion: 99, epoch: 0, undecided: []},
		'entry.fetch-configuration': {},
		'entry.call': {kind: 'unknown-queue'},
	} as const;
	for (const [name, answer] of Object.entries(answers)) {
		registry.register({
			kind: 'rpc-method', name, parametersSchema: methods[name as MethodName].parameters, handle: async () => answer,
		});
	}

	return listenForPeers('127.0.0.1', 0, {
		registry, context: undefined, clock: systemClock, log: silentLog.withPrefix('newer-entry'),
	});
}

const newKey = 'key-2';

/** A large configuration with a new queue and a new key, beside the queue and the key of the version before. */
function describeNewVersion(): unknown {
	const kept = describeManifest(9, [{...queue, name: 'urgent'}]) as Readonly<{routes: readonly unknown[]}>;
	const large = describeLargeManifest(9, 'new') as Readonly<{routes: readonly unknown[]}>;
	return {...large, routes: [...kept.routes, ...large.routes], tenants: [{name: 'tenant', api_keys: [apiKey, newKey], guaranteed: {gpus: 8}}]};
}

/** How entry 0 comes to have shown the new version to a caller, and what happens then. */
type Course = Readonly<{name: string; answers: readonly string[]; beforeChange(deployment: Deployment): void; afterEffect(deployment: Deployment): void}>;

function regainSlowStore({entries: [behind]}: Deployment): void {
	behind?.storeLink.setBytesPerSecond(slowBytesPerSecond);
	behind?.storeLink.setResetting(false);
}

const courses: readonly Course[] = [
	{
		name: 'through another entry stays in force once the store is back (configuration goes back)',
		beforeChange({entries}) {
			entries[0]?.storeLink.setResetting(true);
		},
		afterEffect: regainSlowStore,
		answers: ['200'],
	},
	{
		name: 'through an entry that is gone gives 503 until it is in force (refused by an older configuration)',
		beforeChange({entries}) {
			entries[0]?.storeLink.setResetting(true);
		},
		afterEffect(deployment) {
			deployment.entries[1]?.daemon.process.kill('SIGKILL');
			regainSlowStore(deployment);
		},
		answers: ['200', '503 retry-after 1'],
	},
	{
		name: 'is not taken back by another entry that has not read it (forwarded to an older configuration)',
		beforeChange({entries}) {
			entries[1]?.storeLink.setBytesPerSecond(slowBytesPerSecond);
		},
		afterEffect({entries}) {
			entries[0]?.storeLink.setResetting(true);
		},
		answers: ['200', '503 retry-after 1'],
	},
];

/** The new version takes 1.5 s over the slow link, and the entry asks the other one for it after 0.6 s. */
const observationMilliseconds = 3000;

async function expectNoReturn(deployment: Deployment, {path, key}: Readonly<{path: string; key: string}>, {beforeChange, afterEffect, answers}: Course): Promise<void> {
	const [entry] = deployment.entries;
	await waitFor('connection between the entries', async () => {
		const response = await fetch(`http://${loopbackHost(0)}:${entry?.daemon.ports['metrics'] ?? 0}/metrics`);
		const metrics = await response.text();
		return metrics.includes('name="connected-entries"} 1\n') ? true : undefined;
	});
	const call = async () => callFront(entry?.front ?? '', 'GET', path, {key});
	beforeChange(deployment);
	deployment.store.put(manifestKey, describeNewVersion());
	await waitFor('effect of the new version', async () => {
		const answer = await call();
		return answer?.status === 200 ? true : undefined;
	}, applyMilliseconds);
	afterEffect(deployment);
	const seen = new Set<string>();
	const endsAt = Date.now() + observationMilliseconds;
	await waitFor('end of the observation', async () => {
		const answer = await call();
		seen.add(answer?.status === 503 ? `503 retry-after ${answer.retryAfter}` : String(answer?.status));
		return Date.now() < endsAt ? undefined : true;
	});
	expect([...seen].toSorted((left, right) => left.localeCompare(right))).to.deep.equal(answers);
}

const calls = [
	{
		name: 'a new queue', path: '/new/', key: apiKey,
	},
	{
		name: 'a new key', path: '/urgent/', key: newKey,
	},
];

const regressions = calls.flatMap(({name, ...call}) => courses.map((course): Case => ({
	name: `${name} that callers saw ${course.name}`,
	entries: 2,
	run: async deployment => expectNoReturn(deployment, call, course),
})));

type Case = Readonly<{name: string; entries: number; run(deployment: Deployment): Promise<void>}>;

const cases: readonly Case[] = [
	{
		name: 'two large versions that were written while the link was down are in force in time over a slow link (transfer ended by its timeout and begun anew)',
		entries: 1,
		async run(deployment) {
			const link = deployment.entries[0]?.storeLink;
			link?.setResetting(true);
			deployment.store.put(manifestKey, describeLargeManifest(9, 'first'));
			deployment.store.put(manifestKey, describeLargeManifest(13, 'second'));
			link?.setBytesPerSecond(slowBytesPerSecond);
			link?.setResetting(false);
			await waitForQueue(deployment, 'second', applyMilliseconds);
		},
	},
	{
		name: 'an exchange with an entry that is behind carries versions only (copies of every entry fill a slow link)',
		entries: 1,
		async run(deployment) {
			deployment.store.put(manifestKey, describeLargeManifest(9, 'first'));
			await waitForQueue(deployment, 'first');
			const peer = await connectAsEntry(deployment, 0);
			const reply = await peer.call('entry.exchange', {
				entry: 'entry-9' as EntryId, configurationVersion: 3, epoch: 0, undecided: [],
			}, applyMilliseconds);
			expect(reply).to.include({kind: 'answered'});
			expect(peer.traffic().received).to.be.below(maximumExchangeBytes);
			peer.close('test ended');
		},
	},
	{
		name: 'an entry that does not reach the store gets a large version from another entry in time (stale configuration while the store turns one entry away)',
		entries: 3,
		async run(deployment) {
			deployment.entries[0]?.storeLink.setResetting(true);
			deployment.store.put(manifestKey, describeLargeManifest(9, 'first'));
			await waitForQueue(deployment, 'first', applyMilliseconds);
		},
	},
	{
		name: 'an entry that stays behind lets the entry with the newer version answer (callers served by a removed route)',
		entries: 1,
		async run(deployment) {
			const newer = await startNewerEntry();
			deployment.store.put('cluster/entries/newer', {entry: 'newer', address: `127.0.0.1:${newer.port}`, zone: 'z'});
			expect(await deployment.call(0, 'GET', '/batch/')).to.include({status: 200});
			await waitFor('answer of the newer version', async () => {
				const answer = await deployment.call(0, 'GET', '/batch/');
				return answer?.status === 404 ? true : undefined;
			}, applyMilliseconds);
			newer.close();
		},
	},
];

describe('configuration of the entry programs', function () {
	this.timeout(60_000);
	for (const {name, entries, run} of [...cases, ...regressions]) {
		it(name, async () => {
			const deployment = await startDeployment({entries, workers: 0, workMilliseconds: 100});
			try {
				await run(deployment);
			} finally {
				await deployment.stop();
			}
		});
	}
});
