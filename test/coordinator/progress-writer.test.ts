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
	/** Numbers of the jobs whose records each transaction removes. */
	removed: ReadonlyArray<readonly number[]>;
	isDeposed: boolean;
}>;

/** Limit of the store for one transaction. */
const maximumOperations = 32;

const unavailable: CommitReply = {kind: 'unavailable', effect: 'not-applied', message: 'status 503'};
const lost: CommitReply = {kind: 'unavailable', effect: 'perhaps-applied', message: 'timeout'};
const committed: CommitReply = {kind: 'committed', version: 9};

const leader = {key: 'cluster/leader', value: {}, version: 4};
const progressOf = (number: number, version = number) => ({key: `progress/${keyOf(number)}`, value: {}, version});
const firstBatch = [1, 2, 3, 4, 5, 6, 7];
const secondBatch = [8, 9, 10, 11, 12];

const cases: readonly Case[] = [
	{
		name: 'records of ended jobs are removed in batches (one write for each job)', replies: [committed, committed], removed: [firstBatch, secondBatch], isDeposed: false,
	},
	{
		name: 'a removal that the store did not apply is retried (records that are never removed)',
		replies: [unavailable, committed, committed],
		removed: [firstBatch, firstBatch, secondBatch],
		isDeposed: false,
	},
	{
		name: 'a replaced scheduler stops removing records (records removed under the next scheduler)', replies: [{kind: 'conflict', current: []}], removed: [firstBatch], isDeposed: true,
	},
	{
		name: 'a removal whose reply was lost is not repeated for jobs that were submitted again (records of an accepted job removed)',
		replies: [lost, {kind: 'conflict', current: [leader, progressOf(2, 20)]}],
		removed: [firstBatch, firstBatch, secondBatch],
		isDeposed: false,
	},
	{
		name: 'records are removed although those of another job in the batch are gone (records that are never removed)',
		replies: [{kind: 'conflict', current: [leader, ...firstBatch.slice(1).map(number => progressOf(number))]}],
		removed: [firstBatch, [2, 3, 4, 5, 6, 7, 8], [9, 10, 11, 12]],
		isDeposed: false,
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
	for (const {name, replies, removed, isDeposed} of cases) {
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
				writer.remove(keyOf(number), number);
			}

			for (let turn = 0; turn < 20; turn++) {
				await new Promise(resolve => {
					setImmediate(resolve);
				});
			}

			expect(transactions.map(({removals}) => removals)).to.deep.equal(removed.map(numbers => numbers.flatMap(number => [
				`jobs/${keyOf(number)}`, `jobs/${keyOf(number)}/cancellation`, `progress/${keyOf(number)}`,
			])));
			expect(transactions.every(({conditions}) => conditions[0]?.expectedVersion === 4)).to.equal(true);
			expect(transactions.map(({conditions}) => conditions.slice(1))).to.deep.equal(removed.map(numbers => numbers.map(number => (
				{key: `progress/${keyOf(number)}`, expectedVersion: number}
			))));
			expect(transactions.every(({conditions, removals}) => conditions.length + removals.length <= maximumOperations)).to.equal(true);
			expect(messages).to.deep.equal(isDeposed ? [{kind: 'deposed'}] : []);
		});
	}
});
