import {expect} from 'chai';
import type {WorkerId} from '#core';
import {
	agentsService, createWorkersRecord, sendStarts, storePort, type Term,
} from '#coordinator';
import {sleep, type VirtualClock} from '#kernel';
import type {SchedulerEffect} from '#scheduling';
import type {CommitReply, TransactionalStore} from '#store';
import {createFakePeer, startSchedulingEntry} from '#test/support/scheduling-entry';
import {
	createReadyDriver, snapshotOf, startsOf, submissionOf, taskOf, type Driver,
} from '#test/support/scheduling';
import {elapse} from '#test/support/virtual-time';
import {closedZonesOf} from '#test/support/zones';

type Case = Readonly<{
	name: string;
	/** Runs whose start reaches the agent once the store accepts the record. */
	sent: readonly number[];
	/** Runs whose start is answered as one that was not sent. */
	unsent: readonly number[];
	/** Writes of the record, with those that the store refused. */
	maximumWrites: number;
	/** What the scheduler hears while the store refuses the record of its workers. */
	meanwhile(driver: Driver): void;
}>;

const cases: readonly Case[] = [
	{
		name: 'an order is sent once the worker is recorded (work that never starts)',
		meanwhile(driver) {
			driver.send({kind: 'renewed', agent: 'b', snapshot: snapshotOf('b')});
		},
		sent: [1],
		unsent: [],
		maximumWrites: 6,
	},
	{
		name: 'an order whose run was released meanwhile is not sent (two runs of one task)',
		meanwhile(driver) {
			driver.elapse(9000);
			driver.send({kind: 'renewed', agent: 'b', snapshot: snapshotOf('b')});
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a')});
			expect(driver.state().runs.get('b')?.toArray()).to.deep.equal([taskOf(1)]);
		},
		sent: [],
		unsent: [1],
		maximumWrites: 6,
	},
	{
		name: 'an order whose run is to be stopped is not sent (start of a cancelled job)',
		meanwhile(driver) {
			driver.send({kind: 'cancelled', job: submissionOf(1, []).job});
		},
		sent: [],
		unsent: [1],
		maximumWrites: 6,
	},
	{
		name: 'an order to a worker whose zone was closed meanwhile is not sent (start in a closed zone)',
		meanwhile(driver) {
			driver.send({kind: 'zones-observed', zones: closedZonesOf(1, 'z')});
		},
		sent: [],
		unsent: [1],
		maximumWrites: 6,
	},
	{
		name: 'an order to a worker that is gone ends (record written again and again)',
		meanwhile(driver) {
			driver.elapse(9000);
		},
		sent: [],
		unsent: [1],
		maximumWrites: 6,
	},
	{
		name: 'an order to a worker whose place another one took ends (record written again and again)',
		meanwhile(driver) {
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {worker: 'w-2' as WorkerId, incarnation: '2'})});
		},
		sent: [],
		unsent: [1],
		maximumWrites: 6,
	},
];

/** Refuses writes until 1 s has passed; each write takes 10 ms. */
function createStore(clock: VirtualClock): Readonly<{store: TransactionalStore; countWrites(): number}> {
	let writes = 0;
	return {
		store: {
			async commit(): Promise<CommitReply> {
				writes++;
				await sleep(clock, 10);
				return clock.monotonic() < 1000 ? {kind: 'unavailable', effect: 'not-applied', message: 'status 429'} : {kind: 'committed', version: 1};
			},
		} as unknown as TransactionalStore,
		countWrites: () => writes,
	};
}

describe('start orders that wait for the record of workers', () => {
	for (const {
		name, meanwhile, sent, unsent, maximumWrites,
	} of cases) {
		it(name, async () => {
			const driver = createReadyDriver([['a']]);
			const effects = driver.send({kind: 'submitted', submission: submissionOf(1, [{}])});
			const start = effects.find((effect): effect is Extract<SchedulerEffect, {kind: 'start'}> => effect.kind === 'start');
			expect(startsOf(effects).map(({run}) => run)).to.deep.equal([1]);
			const calls: number[] = [];
			const unsentRuns: number[] = [];
			const context = startSchedulingEntry({
				send(message) {
					driver.send(message);
				},
				read: driver.state,
			});
			const clock = context.clock as VirtualClock;
			const {store, countWrites} = createStore(clock);
			context.services.provide(storePort, store);
			const peer = {
				...createFakePeer('h:10'),
				async call(method: string, {orders}: Readonly<{orders: ReadonlyArray<Readonly<{run: number}>>}>) {
					calls.push(...method === 'worker.start' ? orders.map(({run}) => run) : []);
					return {
						kind: 'failed', delivery: 'perhaps-sent', reason: 'timeout', message: 'none',
					};
				},
			};
			context.services.use(agentsService).attach('a', peer as never);
			const term = {
				epoch: 1,
				leaderVersion: 1,
				isOver: () => false,
				task: {
					read: driver.state,
					send(message: Readonly<{kind: string; answers: ReadonlyArray<Readonly<{run: number; result: string}>>}>) {
						unsentRuns.push(...message.answers.filter(({result}) => result === 'too-late' || result === 'zone-closed').map(({run}) => run));
					},
				},
			};
			const workersRecord = createWorkersRecord(term as never, context);
			void sendStarts(start!, {...term, workersRecord} as unknown as Term, context);
			await elapse(clock, 500);
			meanwhile(driver);
			await elapse(clock, 5000);
			expect({calls, unsentRuns}).to.deep.equal({calls: sent, unsentRuns: unsent});
			expect(countWrites()).to.be.at.most(maximumWrites);
		});
	}
});
