import {expect} from 'chai';
import type {Milliseconds} from '#core';
import {
	leadershipService, startProgressWriter, storePort, type CoordinatorContext,
} from '#coordinator';
import {
	createCounters, createServices, silentLog, startTask, type Clock,
} from '#kernel';
import {createSchedulerState, receiveSchedulerMessage} from '#scheduling';
import type {CommitReply, Transaction, TransactionalStore} from '#store';
import {keyOf} from '#test/support/scheduling';

type Case = Readonly<{
	name: string;
	replies: readonly CommitReply[];
	/** Number of removals in each transaction that is sent. */
	removalCounts: readonly number[];
	isDeposed: boolean;
}>;

const unavailable: CommitReply = {kind: 'unavailable', effect: 'not-applied', message: 'status 503'};
const committed: CommitReply = {kind: 'committed', version: 9};

const cases: readonly Case[] = [
	{
		name: 'records of ended jobs are removed in batches (one write for each job)', replies: [committed, committed], removalCounts: [30, 6], isDeposed: false,
	},
	{
		name: 'a removal that the store did not apply is retried (records that are never removed)', replies: [unavailable, committed, committed], removalCounts: [30, 30, 6], isDeposed: false,
	},
	{
		name: 'a replaced scheduler stops removing records (records removed under the next scheduler)', replies: [{kind: 'conflict', current: []}], removalCounts: [30], isDeposed: true,
	},
];

/** Runs scheduled actions without their delay. */
const immediateClock: Clock = {
	now: () => 0,
	monotonic: () => 0,
	schedule(_delay: Milliseconds, action) {
		setImmediate(action);
		return () => undefined;
	},
};

describe('progress writer', () => {
	for (const {name, replies, removalCounts, isDeposed} of cases) {
		it(name, async () => {
			const transactions: Transaction[] = [];
			const messages: unknown[] = [];
			const services = createServices();
			services.provide(storePort, {
				async commit(transaction: Transaction) {
					transactions.push(transaction);
					return replies[transactions.length - 1] ?? committed;
				},
			} as unknown as TransactionalStore);
			const leadership: unknown = {
				send(message: unknown) {
					messages.push(message);
				},
			};
			services.provide(leadershipService, leadership as never);
			const context = {
				services, clock: immediateClock, counters: createCounters(), log: silentLog,
			} as unknown as CoordinatorContext;
			const task = startTask({name: 'scheduler', initialState: createSchedulerState(2), receive: receiveSchedulerMessage}, {clock: immediateClock, perform: () => undefined});
			const writer = startProgressWriter({
				leaderVersion: 4, epoch: 2, isOver: () => messages.length > 0, task,
			}, context);
			for (let number = 1; number <= 12; number++) {
				writer.remove(keyOf(number));
			}

			for (let turn = 0; turn < 20; turn++) {
				await new Promise(resolve => {
					setImmediate(resolve);
				});
			}

			expect(transactions.map(({removals}) => removals.length)).to.deep.equal(removalCounts);
			expect(transactions.every(({conditions}) => conditions[0]?.expectedVersion === 4)).to.equal(true);
			expect(messages).to.deep.equal(isDeposed ? [{kind: 'deposed'}] : []);
		});
	}
});
