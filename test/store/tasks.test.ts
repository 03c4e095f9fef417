import {expect} from 'chai';
import {createRandomSource} from '#core';
import {createVirtualClock, type VirtualClock} from '#kernel';
import {createMemoryStore, type MemoryStore} from '#stand-ins';
import {startLeaseTask, startWatchTask, type StoredValue} from '#store';
import {elapse} from '#test/support/virtual-time';

const timeToLive = 15_000;

type Fixture = Readonly<{clock: VirtualClock; memory: MemoryStore}>;
type Case = Readonly<{name: string; run(fixture: Fixture): Promise<void>}>;

const startLease = ({clock, memory}: Fixture, seed = 1) => startLeaseTask({
	store: memory.connect(), clock, random: createRandomSource(seed), timeToLive,
});

const startWatch = ({clock, memory}: Fixture, seed = 1) => {
	const observed: unknown[] = [];
	const watch = startWatchTask({
		store: memory.connect(),
		clock,
		random: createRandomSource(seed),
		prefix: 'a',
		onObserved(observation) {
			const values: readonly StoredValue[] = observation.kind === 'all'
				? observation.values
				: observation.events.flatMap(event => event.kind === 'put' ? [event.stored] : []);
			observed.push(...values.map(({value}) => value));
		},
		onFailure() {/* The cases only check observations. */},
	});
	return {observed, watch};
};

/** Returns the maximum number of calls per 100 ms interval during the given time. */
async function measurePeak({clock, memory}: Fixture, duration: number): Promise<number> {
	let peak = 0;
	let before = await memory.countCalls();
	for (let elapsed = 0; elapsed < duration; elapsed += 100) {
		await elapse(clock, 100, 10);
		const after = await memory.countCalls();
		peak = Math.max(peak, after.total - before.total);
		before = after;
	}

	return peak;
}

/** Starts a watch that retries after a fixed delay, for comparison. */
function startNaiveWatch({clock, memory}: Fixture): void {
	const store = memory.connect();
	const poll = async () => {
		const reply = await store.watch('a', 0, 20_000);
		clock.schedule(reply.kind === 'unavailable' ? 1000 : 0, () => {
			void poll();
		});
	};

	void poll();
}

const cases: readonly Case[] = [
	{
		name: 'a paused holder finds its lease lapsed before its next call (two simultaneous owners)',
		async run(fixture) {
			// A paused process runs no timers, so only its clock advances.
			let pauseDuration = 0;
			const clock = {...fixture.clock, monotonic: () => fixture.clock.monotonic() + pauseDuration};
			const lease = startLease({...fixture, clock});
			await elapse(fixture.clock, 1000);
			expect(lease.getValid()).to.include({lease: 'lease-1'});
			pauseDuration = timeToLive;
			expect(lease.getValid()).to.equal(undefined);
			await fixture.memory.setSwitches({outage: true});
			await elapse(fixture.clock, 2 * timeToLive);
			await fixture.memory.setSwitches({outage: false});
			await elapse(fixture.clock, 10_000);
			expect(lease.getValid()).to.include({lease: 'lease-2'});
		},
	},
	{
		name: 'a lease is never valid for its holder after the store dropped it (fencing without synchronized clocks)',
		async run(fixture) {
			const lease = startLease(fixture);
			const store = fixture.memory.connect();
			await elapse(fixture.clock, 100);
			await store.write('held', 1, {expectedVersion: 0, lease: lease.getValid()?.lease ?? ''});
			await fixture.memory.setSwitches({hang: true});
			for (let elapsed = 0; elapsed < 2 * timeToLive; elapsed += 250) {
				await elapse(fixture.clock, 250);
				await fixture.memory.setSwitches({hang: false});
				const reply = await store.read('held');
				await fixture.memory.setSwitches({hang: true});
				expect(lease.getValid() !== undefined && reply.kind === 'absent').to.equal(false);
			}
		},
	},
	{
		name: 'a lease that is stopped while its grant is in flight is revoked when the grant arrives (lease that nobody renews or revokes)',
		async run(fixture) {
			const lease = startLease(fixture);
			await lease.stop();
			await elapse(fixture.clock, 100);
			expect(lease.getValid()).to.equal(undefined);
			expect(await fixture.memory.connect().renewLease('lease-1')).to.deep.equal({kind: 'lease-unknown'});
		},
	},
	{
		name: 'a watch that lost events lists the keys again and observes the latest value',
		async run(fixture) {
			const store = fixture.memory.connect();
			const {observed} = startWatch(fixture);
			await elapse(fixture.clock, 100);
			await fixture.memory.setSwitches({historyLimit: 1, outage: true});
			await elapse(fixture.clock, 1000);
			await fixture.memory.setSwitches({outage: false});
			await store.write('a', 'first', {expectedVersion: 0});
			await store.write('a', 'second', {expectedVersion: 1});
			await elapse(fixture.clock, 20_000);
			expect(observed.at(-1)).to.equal('second');
		},
	},
	{
		name: 'calls of 200 watches and 200 leases are spread after a store outage (thundering herd)',
		async run(fixture) {
			for (let seed = 1; seed <= 200; seed++) {
				startWatch(fixture, seed);
				startLease(fixture, 1000 + seed);
			}

			await elapse(fixture.clock, 30_000, 10);
			await fixture.memory.setSwitches({outage: true});
			await elapse(fixture.clock, 60_000, 10);
			await fixture.memory.setSwitches({outage: false});
			expect(await measurePeak(fixture, 15_000)).to.be.lessThan(40);
		},
	},
	{
		name: 'the thundering herd check detects one: 200 naive watches call within the same 100 ms',
		async run(fixture) {
			for (let count = 0; count < 200; count++) {
				startNaiveWatch(fixture);
			}

			await elapse(fixture.clock, 1000, 10);
			await fixture.memory.setSwitches({outage: true});
			await elapse(fixture.clock, 60_000, 10);
			await fixture.memory.setSwitches({outage: false});
			expect(await measurePeak(fixture, 2000)).to.be.greaterThan(150);
		},
	},
];

describe('lease and watch tasks', () => {
	for (const {name, run} of cases) {
		it(name, async () => {
			const clock = createVirtualClock();
			const memory = createMemoryStore(clock);
			await memory.setSwitches({readsPerSecond: 0, writesPerSecond: 0});
			await run({clock, memory});
		});
	}
});
