import {expect} from 'chai';
import {createVirtualClock, silentLog} from '#kernel';
import {createMemoryStore, serveStore, type StoreSwitches} from '#stand-ins';
import {createHttpStore, maximumValueBytes, type KeyValueStore} from '#store';
import {createHttpClient} from '#transport';
import {elapse} from '#test/support/virtual-time';

type Service = Readonly<{
	store: KeyValueStore;
	wait(duration: number): Promise<void>;
	setSwitches(switches: Partial<StoreSwitches>): Promise<void>;
	countCalls(): Promise<Readonly<{total: number; waitingWatches: number}>>;
	stop(): Promise<void>;
}>;

type Case = Readonly<{name: string; run(service: Service): Promise<void>}>;

const cases: readonly Case[] = [
	{
		name: 'rejects the second of two writes with the same expected version (lost update)',
		async run({store}) {
			expect(await store.write('a', 1, {expectedVersion: 0})).to.deep.equal({kind: 'written', version: 1});
			expect(await store.write('a', 2, {expectedVersion: 0})).to.deep.equal({kind: 'conflict', current: {key: 'a', value: 1, version: 1}});
			expect(await store.remove('a', 1)).to.include({kind: 'written'});
			expect(await store.read('a')).to.deep.equal({kind: 'absent'});
		},
	},
	{
		name: 'deletes the keys of a lapsed lease and notifies watches (registration of a dead process)',
		async run({store, wait}) {
			const lease = await grant(store, 100);
			await store.write('entries/x', 1, {expectedVersion: 0, lease});
			const watching = store.watch('entries/', 1, 2000);
			await wait(200);
			expect(await watching).to.deep.equal({kind: 'events', revision: 2, events: [{kind: 'deleted', key: 'entries/x'}]});
			expect(await store.renewLease(lease)).to.deep.equal({kind: 'lease-unknown'});
			expect(await store.write('entries/x', 2, {expectedVersion: 0, lease})).to.deep.equal({kind: 'lease-unknown'});
		},
	},
	{
		name: 'retains the keys of a renewed lease and deletes them when the lease is revoked',
		async run({store, wait}) {
			const lease = await grant(store, 300);
			await store.write('a', 1, {expectedVersion: 0, lease});
			await wait(200);
			expect(await store.renewLease(lease)).to.deep.equal({kind: 'granted', lease});
			await wait(200);
			expect(await store.read('a')).to.include({kind: 'found'});
			await store.revokeLease(lease);
			expect(await store.read('a')).to.deep.equal({kind: 'absent'});
		},
	},
	{
		name: 'replies compacted instead of omitting events when a watch has fallen behind',
		async run({store, setSwitches}) {
			await setSwitches({historyLimit: 2});
			for (const version of [0, 1, 2, 3]) {
				await store.write('a', version, {expectedVersion: version});
			}

			expect(await store.watch('a', 1, 100)).to.deep.equal({kind: 'compacted'});
			expect(await store.watch('a', 3, 100)).to.include({kind: 'events', revision: 4});
			expect(await store.watch('a', 99, 100)).to.deep.equal({kind: 'compacted'});
		},
	},
	{
		name: 'rejects a value over 1 MB and reports that nothing was written',
		async run({store}) {
			expect(await store.write('a', 'x'.repeat(maximumValueBytes), {expectedVersion: 0})).to.include({kind: 'unavailable', effect: 'not-applied'});
			expect(await store.read('a')).to.deep.equal({kind: 'absent'});
		},
	},
	{
		name: 'reports a rate-limited or rejected write as not applied (false unknown outcome)',
		async run({store, setSwitches}) {
			await setSwitches({writesPerSecond: 0.001});
			await store.write('a', 1, {expectedVersion: 0});
			expect(await store.write('b', 1, {expectedVersion: 0})).to.include({kind: 'unavailable', effect: 'not-applied', retryAfterMilliseconds: 200});
			await setSwitches({writesPerSecond: 0, outage: true});
			expect(await store.write('b', 1, {expectedVersion: 0})).to.include({kind: 'unavailable', effect: 'not-applied'});
			await setSwitches({outage: false});
			expect(await store.read('b')).to.deep.equal({kind: 'absent'});
		},
	},
	{
		name: 'reports a write as perhaps applied if its response is lost or the store hangs (false failure)',
		async run({store, setSwitches, wait}) {
			await setSwitches({loseWriteAnswers: 1});
			const lost = store.write('a', 1, {expectedVersion: 0});
			await wait(2100);
			expect(await lost).to.include({kind: 'unavailable', effect: 'perhaps-applied'});
			expect(await store.read('a')).to.include({kind: 'found'});
			await setSwitches({hang: true});
			const hung = store.write('b', 1, {expectedVersion: 0});
			await wait(2100);
			expect(await hung).to.include({kind: 'unavailable', effect: 'perhaps-applied'});
			await setSwitches({hang: false});
			expect(await store.read('b')).to.deep.equal({kind: 'absent'});
		},
	},
	{
		name: 'counts each call once, including a waiting watch (long calls hide the load of the store)',
		async run({store, countCalls, wait}) {
			const watching = store.watch('a', 0, 400);
			await wait(100);
			expect(await countCalls()).to.include({total: 1, waitingWatches: 1});
			await wait(400);
			expect(await watching).to.deep.equal({kind: 'events', revision: 0, events: []});
			expect(await countCalls()).to.include({total: 1, waitingWatches: 0});
		},
	},
	{
		name: 'delays replies while the store is slow',
		async run({store, setSwitches, wait}) {
			await setSwitches({slownessMilliseconds: 300});
			let hasReplied = false;
			const reading = (async () => {
				await store.read('a');
				hasReplied = true;
			})();
			await wait(100);
			expect(hasReplied).to.equal(false);
			await wait(400);
			await reading;
			expect(hasReplied).to.equal(true);
		},
	},
];

async function grant(store: KeyValueStore, timeToLive: number): Promise<string> {
	const reply = await store.grantLease(timeToLive);
	return reply.kind === 'granted' ? reply.lease : expect.fail(reply.kind);
}

async function createMemoryService(): Promise<Service> {
	const clock = createVirtualClock();
	const memory = createMemoryStore(clock);
	return {
		...memory, store: memory.connect(), wait: async duration => elapse(clock, duration), async stop() {/* The memory store has nothing to stop. */},
	};
}

async function createHttpService(): Promise<Service> {
	const listener = await serveStore('127.0.0.1', 0, silentLog);
	const origin = `http://127.0.0.1:${listener.port}`;
	const store = createHttpStore(origin);
	const control = createHttpClient(origin, 1);
	return {
		store,
		wait: async duration => new Promise(resolve => {
			setTimeout(resolve, duration);
		}),
		async setSwitches(switches) {
			await control.send('POST', '/switches', {body: switches, timeout: 2000});
		},
		async countCalls() {
			const reply = await control.send('GET', '/calls', {timeout: 2000});
			return (reply as Readonly<{body: Readonly<{total: number; waitingWatches: number}>}>).body;
		},
		async stop() {
			await store.close();
			await control.close();
			await listener.drain();
		},
	};
}

for (const [transport, create] of [['memory', createMemoryService], ['HTTP', createHttpService]] as const) {
	describe(`key-value service over ${transport}`, () => {
		for (const {name, run} of cases) {
			it(name, async () => {
				const service = await create();
				await run(service);
				await service.stop();
			});
		}
	});
}
