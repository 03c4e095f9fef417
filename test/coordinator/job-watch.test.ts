import {expect} from 'chai';
import {startJobWatch, storePort, type CoordinatorContext} from '#coordinator';
import {
	createCounters, createServices, createVirtualClock, silentLog, startTask, type VirtualClock,
} from '#kernel';
import type {JobProgress, JobRecord} from '#jobs';
import {
	createSchedulerState, receiveSchedulerMessage, type SchedulerEffect, type SchedulerMessage, type SchedulerState,
} from '#scheduling';
import {createMemoryStore, type MemoryStore} from '#stand-ins';
import type {KeyValueStore, StoreFailure, TransactionalStore} from '#store';
import {keyOf, submissionOf} from '#test/support/scheduling';
import {elapse} from '#test/support/virtual-time';
import {operatorSource, startZones} from '#test/support/zones';

/** Longer than the records of an ended job are retained. */
const retentionMilliseconds = 160_000;

const accepted = (number: number): JobRecord => ({kind: 'accepted', submission: submissionOf(number, [{}])});
const completed: JobProgress = {outcome: 'completed', tasks: {'0.0.0': {isDone: true}}, endedAt: 1};

const lostReply: StoreFailure = {kind: 'unavailable', effect: 'not-applied', message: 'status 503'};

type Fixture = Readonly<{
	clock: VirtualClock;
	memory: MemoryStore;
	store: KeyValueStore;
	state(): SchedulerState;
	/** Lets the time pass, with the scheduler's ticks. */
	elapse(duration: number): Promise<void>;
	/** Drops the store's history while the watch fails, and changes the store meanwhile. If a key is named, the first list after it misses it, since pages are no snapshot, and the history is lost again. */
	loseHistory(change: () => Promise<unknown>, omittedKey?: string): Promise<void>;
}>;

type Case = Readonly<{name: string; run(fixture: Fixture): Promise<void>}>;

const cases: readonly Case[] = [
	{
		name: 'a job whose records are being removed is not received again (a job that ended runs again)',
		async run(fixture) {
			await fixture.elapse(retentionMilliseconds);
			expect(fixture.state().jobs.has(keyOf(1))).to.equal(false);
			await fixture.loseHistory(async () => undefined);
			expect([...fixture.state().jobs.keys()]).to.deep.equal([]);
		},
	},
	{
		name: 'a job that was submitted meanwhile is received (accepted job that never runs)',
		async run(fixture) {
			await fixture.loseHistory(async () => fixture.store.write(`jobs/${keyOf(2)}`, accepted(2), {expectedVersion: 0}));
			expect(fixture.state().jobs.get(keyOf(2))?.outcome).to.equal('queued');
		},
	},
	{
		name: 'a job whose refusal was replaced meanwhile is received (accepted job that never runs)',
		async run(fixture) {
			const key = `jobs/${keyOf(2)}`;
			const refused: JobRecord = {kind: 'refused', refusedAt: 1};
			const reply = await fixture.store.write(key, refused, {expectedVersion: 0});
			await fixture.elapse(1000);
			await fixture.loseHistory(async () => fixture.store.write(key, accepted(2), {expectedVersion: reply.kind === 'written' ? reply.version : 0}));
			expect(fixture.state().jobs.get(keyOf(2))?.outcome).to.equal('queued');
		},
	},
	{
		name: 'a job that was removed and submitted again meanwhile is received (accepted job that never runs)',
		async run(fixture) {
			await fixture.elapse(retentionMilliseconds);
			await fixture.loseHistory(async () => {
				await fixture.store.remove(`jobs/${keyOf(1)}`, 1);
				await fixture.store.remove(`progress/${keyOf(1)}`, 2);
				await fixture.store.write(`jobs/${keyOf(1)}`, accepted(1), {expectedVersion: 0});
			});
			expect(fixture.state().jobs.get(keyOf(1))?.outcome).to.equal('queued');
		},
	},
	{
		name: 'a cancellation that was stored meanwhile is received (cancelled job that runs)',
		async run(fixture) {
			await fixture.store.write(`jobs/${keyOf(2)}`, accepted(2), {expectedVersion: 0});
			await fixture.elapse(1000);
			expect(fixture.state().jobs.get(keyOf(2))?.outcome).to.equal('queued');
			await fixture.loseHistory(async () => fixture.store.write(`jobs/${keyOf(2)}/cancellation`, {cancelledAt: 1}, {expectedVersion: 0}));
			expect(fixture.state().jobs.get(keyOf(2))?.outcome).to.equal('cancelled');
		},
	},
	{
		name: 'a cancellation that is listed before its submission is received (cancelled job that runs)',
		async run(fixture) {
			await fixture.loseHistory(async () => {
				await fixture.store.write(`jobs/${keyOf(2)}`, accepted(2), {expectedVersion: 0});
				await fixture.store.write(`jobs/${keyOf(2)}/cancellation`, {cancelledAt: 1}, {expectedVersion: 0});
			}, `jobs/${keyOf(2)}`);
			expect(fixture.state().jobs.get(keyOf(2))?.outcome).to.equal('cancelled');
		},
	},
];

describe('job watch', () => {
	for (const {name, run} of cases) {
		it(`after the store dropped its history, ${name}`, async () => {
			const clock = createVirtualClock();
			const memory = createMemoryStore(clock);
			await memory.setSwitches({readsPerSecond: 0, writesPerSecond: 0});
			const store = memory.connect();
			const writing = [store.write(`jobs/${keyOf(1)}`, accepted(1), {expectedVersion: 0}), store.write(`progress/${keyOf(1)}`, completed, {expectedVersion: 0}), store.write('op/evacuate/z-closed', {}, {expectedVersion: 0})];
			await elapse(clock, 100);
			await Promise.all(writing);
			const services = createServices();
			let watchFate: 'answered' | 'failing' | 'compacted' = 'answered';
			let keyToOmit: string | undefined;
			let areZonesReadable = false;
			services.provide(storePort, {
				...store,
				async list(prefix) {
					if (prefix === operatorSource.closedZonesPrefix && !areZonesReadable) {
						return lostReply;
					}

					const reply = await store.list(prefix);
					const omitted = keyToOmit;
					if (omitted === undefined || reply.kind !== 'listed') {
						return reply;
					}

					keyToOmit = undefined;
					watchFate = 'compacted';
					return {...reply, values: reply.values.filter(({key}) => key !== omitted)};
				},
				async watch(...parameters) {
					const fate = watchFate;
					watchFate = fate === 'failing' ? 'failing' : 'answered';
					return fate === 'answered' ? store.watch(...parameters) : (fate === 'failing' ? lostReply : {kind: 'compacted'});
				},
			} as TransactionalStore);
			const task = startTask<SchedulerState, SchedulerMessage, SchedulerEffect>(
				{name: 'scheduler', initialState: createSchedulerState(2), receive: receiveSchedulerMessage},
				{clock, perform: () => undefined},
			);
			const context = {
				services, clock, random: () => 0.5, counters: createCounters(), log: silentLog,
			} as unknown as CoordinatorContext;
			startZones(context);
			const isOver = () => false;
			startJobWatch({
				epoch: 2, leaderVersion: 1, task, isOver, workersRecord: {restore: () => undefined}, refusalRecords: {observe: () => undefined}, progressWriter: {},
			} as never, context);
			const pass = async (duration: number) => {
				for (let left = duration; left > 0; left -= 1000) {
					task.send({kind: 'tick'});
					await elapse(clock, Math.min(left, 1000), 50);
				}
			};

			await pass(1000);
			expect(task.read().isLoaded, 'loaded before the list of closed zones was read (start in a closed zone after a takeover)').to.equal(false);
			areZonesReadable = true;
			await pass(1000);
			expect(task.read().isLoaded).to.equal(true);
			expect([...task.read().closedZones.zones.keys()]).to.deep.equal(['z-closed']);
			await run({
				clock, memory, store: {
					...store,
					async write(...parameters) {
						const reply = store.write(...parameters);
						await elapse(clock, 100);
						return reply;
					},
					async remove(...parameters) {
						const reply = store.remove(...parameters);
						await elapse(clock, 100);
						return reply;
					},
				}, state: task.read, elapse: pass,
				async loseHistory(change, omittedKey) {
					watchFate = 'failing';
					await memory.setSwitches({outage: true});
					await memory.setSwitches({outage: false});
					await pass(1000);
					await change();
					keyToOmit = omittedKey;
					watchFate = 'compacted';
					await pass(5000);
				},
			});
		});
	}
});
