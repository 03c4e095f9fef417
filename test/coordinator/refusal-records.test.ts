/** Records of refused and withdrawn jobs are removed once no copy of a submission can run into them, and bounded until then. */
import {expect} from 'chai';
import {createRefusalRecords, storePort, withdrawalsService} from '#coordinator';
import type {JobRecord} from '#jobs';
import {
	createCounters, createServices, createVirtualClock, silentLog,
} from '#kernel';
import type {StoredValue} from '#store';
import {startCallerEntry} from '#test/support/caller-entry';
import {keyOf, submissionOf} from '#test/support/scheduling';
import {createUnreliableStore, type WriteFate} from '#test/support/unreliable-store';
import {elapse} from '#test/support/virtual-time';

const leaderKey = 'cluster/leader';
const prompt: WriteFate = {kind: 'answered', appliedAfter: 1, answeredAfter: 1};
const refused: JobRecord = {kind: 'refused', refusedAt: 0};
const withdrawn: JobRecord = {kind: 'withdrawn', withdrawnAt: 0};
const accepted: JobRecord = {kind: 'accepted', submission: submissionOf(1, [{}])};

type Case = Readonly<{
	name: string;
	record: JobRecord;
	/** What replaces the record after 100 s; `seen` tells whether the watch observes it. */
	replacement?: Readonly<{record: JobRecord; isSeen: boolean}>;
	isTermReplaced?: boolean;
	fates?: readonly WriteFate[];
	duration: number;
	left: JobRecord['kind'] | undefined;
}>;

const cases: readonly Case[] = [
	{
		name: 'a withdrawal is kept while a copy of the submission may arrive (cancelled job runs)', record: withdrawn, duration: 145_000, left: 'withdrawn',
	},
	{
		name: 'a withdrawal is removed after it (store that only grows)', record: withdrawn, duration: 155_000, left: undefined,
	},
	{
		name: 'a refusal is removed as well (store that only grows)', record: refused, duration: 155_000, left: undefined,
	},
	{
		name: 'a job that replaced its refusal stays (accepted job is lost)', record: refused, replacement: {record: accepted, isSeen: true}, duration: 200_000, left: 'accepted',
	},
	{
		name: 'a job that replaced its refusal unseen stays (accepted job is lost)', record: refused, replacement: {record: accepted, isSeen: false}, duration: 200_000, left: 'accepted',
	},
	{
		name: 'a withdrawal that replaced a refusal is kept for its own time (cancelled job runs)', record: refused, replacement: {record: withdrawn, isSeen: true}, duration: 200_000, left: 'withdrawn',
	},
	{
		name: 'a removal without an answer is repeated (store that only grows)', record: withdrawn, fates: [{kind: 'never-applied'}], duration: 160_000, left: undefined,
	},
	{
		name: 'a scheduler that was replaced removes nothing (cancelled job runs)', record: withdrawn, isTermReplaced: true, duration: 200_000, left: 'withdrawn',
	},
];

describe('records of refused jobs', () => {
	for (const {
		name, record, replacement, isTermReplaced = false, fates = [], duration, left,
	} of cases) {
		it(name, async () => {
			const clock = createVirtualClock();
			const remaining = [...fates];
			const unreliable = createUnreliableStore(clock, () => remaining.shift() ?? prompt);
			unreliable.put(leaderKey, {entry: 'entry-a'});
			const services = createServices();
			services.provide(storePort, unreliable.store);
			const records = createRefusalRecords({leaderVersion: 1, epoch: 1, isOver: () => false}, {
				services, clock, counters: createCounters(), log: silentLog,
			} as never);
			const key = `jobs/${keyOf(1)}`;
			let version = 1;
			const put = (value: JobRecord, isSeen: boolean) => {
				unreliable.put(key, value);
				version++;
				records.observe(isSeen ? [{key, value, version}] : []);
			};

			put(record, true);
			for (let elapsed = 0; elapsed < duration; elapsed += 1000) {
				if (elapsed === 100_000 && replacement !== undefined) {
					put(replacement.record, replacement.isSeen);
				}

				if (elapsed === 100_000 && isTermReplaced) {
					unreliable.put(leaderKey, {entry: 'entry-b'});
				}

				records.prune();
				await elapse(clock, 1000, 500);
			}

			expect((unreliable.read(key) as JobRecord | undefined)?.kind).to.equal(left);
		});
	}

	it('a flood of cancellations of unknown jobs is refused with the time when the next one is possible (store filled with unknown jobs)', async () => {
		const clock = createVirtualClock();
		const unreliable = createUnreliableStore(clock, () => prompt);
		const entry = startCallerEntry(clock, unreliable);
		const cancelling = Promise.all(Array.from({length: 200}, async (_, index) => entry.cancel(submissionOf(index + 1, [{}]))));
		await elapse(clock, 1000, 5);
		const answers = await cancelling;
		const refusals = answers.flatMap(answer => answer.kind === 'refused' ? [answer.retryAfterMilliseconds] : []);
		expect(unreliable.countWrites()).to.equal(answers.length - refusals.length);
		expect(unreliable.countWrites()).to.be.at.most(70);
		await elapse(clock, Math.max(...refusals));
		expect(entry.context.services.use(withdrawalsService).request().kind).to.equal('granted');
	});

	it('removes at most as many records with one transaction as the store takes (store that only grows)', async () => {
		const clock = createVirtualClock();
		const sizes: number[] = [];
		const unreliable = createUnreliableStore(clock, ({conditions, puts, removals}) => {
			sizes.push(conditions.length + puts.length + removals.length);
			return prompt;
		});
		unreliable.put(leaderKey, {entry: 'entry-a'});
		const values = Array.from({length: 40}, (_, index): StoredValue => ({key: `jobs/${keyOf(index)}`, value: withdrawn, version: index + 2}));
		for (const {key, value} of values) {
			unreliable.put(key, value);
		}

		const services = createServices();
		services.provide(storePort, unreliable.store);
		const records = createRefusalRecords({leaderVersion: 1, epoch: 1, isOver: () => false}, {
			services, clock, counters: createCounters(), log: silentLog,
		} as never);
		records.observe(values);
		await elapse(clock, 151_000, 1000);
		for (let prunes = 0; prunes < 4; prunes++) {
			records.prune();
			await elapse(clock, 100, 5);
		}

		expect(values.filter(({key}) => unreliable.read(key) !== undefined)).to.deep.equal([]);
		expect(Math.max(...sizes)).to.be.at.most(32);
	});
});
