import {expect} from 'chai';
import {
	admissionService, configurationService, coordinatorPlugins, forecastService, leadershipService, storePort, undecidedService, zonesService, type CoordinatorContext,
} from '#coordinator';
import {
	createCounters, createServices, createVirtualClock, silentLog, type VirtualClock,
} from '#kernel';
import {createMemoryStore, type MemoryStore} from '#stand-ins';
import type {KeyValueStore} from '#store';
import type {RpcPeer} from '#transport';
import {callMethod} from '#test/support/scheduling-entry';
import {elapse} from '#test/support/virtual-time';
import {startZones} from '#test/support/zones';

type Entry = Readonly<{
	context: CoordinatorContext;
	/** Configurations that were received. */
	configurations: readonly unknown[];
	listClosed(): readonly string[];
}>;

type Fixture = Readonly<{
	first: Entry;
	/** An entry that does not reach the store. */
	second: Entry;
	memory: MemoryStore;
	put(key: string, value: unknown): Promise<void>;
	remove(key: string): Promise<void>;
	/** The second entry calls the first. */
	exchange(omitted?: readonly string[]): Promise<unknown>;
	elapse(duration: number): Promise<void>;
}>;

type Case = Readonly<{name: string; run(fixture: Fixture): Promise<void>}>;

const key = 'op/evacuate/z1';

const cases: readonly Case[] = [
	{
		name: 'a zone is closed whatever the value of its key, and other keys of the operators close nothing (odd value that keeps a zone open)',
		async run({first, put}) {
			await put(key, 'yes');
			await put('op/evacuate/z2', null);
			await put('op/evacuate/', {});
			await put('op/wave/1', {});
			await put('op/config', {version: 2});
			expect(first.listClosed()).to.deep.equal(['z1', 'z2']);
			expect(first.configurations).to.have.length(1);
		},
	},
	{
		name: 'a zone that is opened while the store discards its history is open (zone that stays empty)',
		async run({first, put, remove, memory, elapse: pass}) {
			await put(key, {});
			await memory.setSwitches({outage: true});
			await pass(500);
			expect(first.listClosed(), 'during the outage').to.deep.equal(['z1']);
			await memory.setSwitches({outage: false});
			await remove(key);
			await put('op/evacuate/z2', {});
			await pass(5000);
			expect(first.listClosed()).to.deep.equal(['z2']);
		},
	},
	{
		name: 'an entry that does not reach the store learns the list from another one (start in a closed zone while the store turns a machine away)',
		async run({first, second, put, remove, exchange}) {
			await put(key, {});
			await exchange();
			expect(second.listClosed()).to.deep.equal(['z1']);
			await remove(key);
			await exchange();
			expect([...first.listClosed(), ...second.listClosed()]).to.deep.equal([]);
		},
	},
	{
		name: 'an entry of the earlier version exchanges without the list (update that stops the exchange)',
		async run({first, put, exchange}) {
			await put(key, {});
			expect(await exchange(['closedZones'])).to.include({epoch: 1});
			expect(first.listClosed()).to.deep.equal(['z1']);
		},
	},
];

function startEntry(clock: VirtualClock, store: KeyValueStore): Entry {
	const services = createServices();
	const context = {
		services, clock, random: () => 0.5, counters: createCounters(), log: silentLog,
	} as unknown as CoordinatorContext;
	const configurations: unknown[] = [];
	services.provide(storePort, store as never);
	startZones(context);
	coordinatorPlugins.tasks().find(({name}) => name === 'configuration')?.start(context);
	services.use(configurationService).subscribe(({current}) => {
		configurations.push(current);
	});
	services.provide(leadershipService, {read: () => ({highestEpoch: 1}), send: () => undefined} as never);
	services.provide(undecidedService, {list: () => ({kind: 'whole', submissions: []}), addAll: () => undefined} as never);
	services.provide(admissionService, {describe: () => undefined, observe: () => undefined} as never);
	services.provide(forecastService, {describe: () => undefined, observe: () => undefined} as never);
	return {context, configurations, listClosed: () => [...services.use(zonesService).read().zones.keys()]};
}

describe('closed zones of an entry', () => {
	for (const {name, run} of cases) {
		it(name, async () => {
			const clock = createVirtualClock();
			const memory = createMemoryStore(clock);
			await memory.setSwitches({readsPerSecond: 0, writesPerSecond: 0});
			const store = memory.connect();
			const unreachable = createMemoryStore(clock);
			await unreachable.setSwitches({outage: true});
			const [first, second] = [startEntry(clock, store), startEntry(clock, unreachable.connect())];
			const settle = async <Result>(call: Promise<Result>) => {
				await elapse(clock, 500, 50);
				return call;
			};

			const call = async (entry: Entry, parameters: unknown) => callMethod('entry.exchange', parameters, entry.context, {} as RpcPeer);
			await elapse(clock, 500, 50);
			await run({
				first, second, memory,
				async put(written, value) {
					await settle(store.write(written, value, {expectedVersion: 0}));
				},
				async remove(removed) {
					const reply = await settle(store.read(removed));
					await settle(store.remove(removed, reply.kind === 'found' ? reply.stored.version : 0));
				},
				async exchange(omitted = []) {
					const request = await call(second, {
						entry: 'e', configurationVersion: 0, epoch: 1, undecided: [], undecidedAges: [],
					}) as Record<string, unknown>;
					const answer = await call(first, Object.fromEntries(Object.entries(request).filter(([name]) => !omitted.includes(name)))) as Record<string, unknown>;
					await call(second, Object.fromEntries(Object.entries(answer).filter(([name]) => !omitted.includes(name))));
					return answer;
				},
				elapse: async duration => elapse(clock, duration, 50),
			});
		});
	}
});
