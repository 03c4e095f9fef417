import {expect} from 'chai';
import type {EntryId} from '#core';
import {
	coordinatorPlugins, leaseService, storePort, type CoordinatorContext,
} from '#coordinator';
import {
	createCounters, createServices, createVirtualClock, silentLog, type VirtualClock,
} from '#kernel';
import type {LeaseHandle, TransactionalStore} from '#store';
import {createUnreliableStore, type WriteFate} from '#test/support/unreliable-store';
import {elapse} from '#test/support/virtual-time';
import type {EntryContext} from '../../packages/entry/types.js';
import {entryPlugins} from '../../packages/entry/plugins.js';
import {entryLeaseService} from '../../packages/entry/plugins/entry-lease.js';
import {storeService} from '../../packages/entry/plugins/store.js';
import '../../packages/coordinator/plugins/index.js';
import '../../packages/entry/plugins/index.js';

const entry = 'entry-a' as EntryId;

type Fixture = Readonly<{store: TransactionalStore; lease: LeaseHandle; clock: VirtualClock}>;

/** An entry of either front, with the record that it registers. */
type Program = Readonly<{name: string; key: string; record: unknown; start(fixture: Fixture): void}>;

const createContext = (clock: VirtualClock) => ({
	services: createServices(), clock, random: () => 0.5, counters: createCounters(), log: silentLog,
});

const programs: readonly Program[] = [
	{
		name: 'an entry of the platform',
		key: 'cluster/entries/entry-a',
		record: {entry, address: 'h:1', zone: 'z'},
		start({store, lease, clock}) {
			const context = {
				...createContext(clock), settings: {
					entry, zone: 'z', 'listen-host': 'h', 'peer-ports': [1],
				},
			};
			context.services.provide(storePort, store);
			context.services.provide(leaseService, lease);
			coordinatorPlugins.tasks().find(({name}) => name === 'directory')?.start(context as unknown as CoordinatorContext);
		},
	},
	{
		name: 'a stand-alone entry',
		key: 'entries/z/entry-a',
		record: {
			entry, region: 'r', zone: 'z', peerAddress: 'h:1', callerAddress: 'h:2',
		},
		start({store, lease, clock}) {
			const context = {
				...createContext(clock), listening: Promise.resolve({peers: 1, callers: 2}), settings: {
					entry, region: 'r', zone: 'z', 'listen-host': 'h', 'advertised-peer-address': '', 'advertised-caller-address': '',
				},
			};
			context.services.provide(storeService, store);
			context.services.provide(entryLeaseService, lease);
			entryPlugins.tasks().find(({name}) => name === 'register-entry')?.start(context as unknown as EntryContext);
		},
	},
];

type Case = Readonly<{
	name: string;
	/** What becomes of the first writes. */
	fates: readonly WriteFate[];
	/** How long after its grant the lease is not confirmed to be valid; the store keeps it. */
	unconfirmed: Readonly<{from: number; until: number}>;
	/** How many writes are sent at most in 20 s. */
	writes: number;
}>;

const never = {from: Infinity, until: Infinity};

const cases: readonly Case[] = [
	{
		name: 'its first write is refused', fates: [{kind: 'refused'}], unconfirmed: never, writes: 2,
	},
	{
		name: 'its first write is carried out without an answer', fates: [{kind: 'unanswered', appliedAfter: 1}], unconfirmed: never, writes: 2,
	},
	{
		name: 'its first write is carried out late', fates: [{kind: 'unanswered', appliedAfter: 3000}], unconfirmed: never, writes: 2,
	},
	{
		name: 'its lease is not confirmed when the refused write is due again', fates: [{kind: 'refused'}], unconfirmed: {from: 1, until: 1500}, writes: 2,
	},
	{
		name: 'its lease is not confirmed for a while and no write is carried out meanwhile',
		fates: Array.from({length: 8}, () => ({kind: 'refused'} as const)),
		unconfirmed: {from: 1, until: 4000},
		writes: 9,
	},
];

describe('registration of entries', () => {
	for (const {fates, unconfirmed, writes, ...testCase} of cases) {
		for (const program of programs) {
			it(`${program.name} is registered although ${testCase.name} (entry that the others and the agents do not know)`, async () => {
				const clock = createVirtualClock();
				const remaining = [...fates];
				const unreliable = createUnreliableStore(clock, () => remaining.shift() ?? {kind: 'answered', appliedAfter: 1, answeredAfter: 1});
				const granted = unreliable.store.grantLease(60_000);
				await elapse(clock, 50, 5);
				const grant = await granted;
				expect(grant).to.deep.equal({kind: 'granted', lease: '1'});
				const startedAt = clock.monotonic();
				const held = {lease: '1', requestedAt: 0, validUntil: 0};
				let announceLease: (lease: string) => void = () => undefined;
				const lease: Partial<LeaseHandle> = {
					getLatest: () => held,
					getValid() {
						const elapsed = clock.monotonic() - startedAt;
						return elapsed >= unconfirmed.from && elapsed < unconfirmed.until ? undefined : held;
					},
					onChanged(listener) {
						announceLease = listener;
						return () => undefined;
					},
				};
				// The view of other entries does not matter here.
				const store: TransactionalStore = {...unreliable.store, list: async () => new Promise(() => {/* Never answers. */})};
				program.start({store, lease: lease as LeaseHandle, clock});
				announceLease('1');
				await elapse(clock, 20_000, 20);
				expect(unreliable.read(program.key)).to.deep.equal(program.record);
				expect(unreliable.countWrites()).to.be.at.most(writes);
			});
		}
	}
});
