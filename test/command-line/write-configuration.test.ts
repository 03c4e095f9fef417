import {expect} from 'chai';
import {
	configurationKey, historyKeyOf, type Change, type ChangeOutcome, type Configuration, type Lists,
} from '#configuration';
import {createRandomSource} from '#core';
import {createVirtualClock, type VirtualClock} from '#kernel';
import {createMemoryStore, type MemoryStore} from '#stand-ins';
import type {KeyValueStore} from '#store';
import {writeConfiguration} from '#command-line';
import {elapse} from '#test/support/virtual-time';

const lists: Lists = {plans: [], allowances: []};
const change = (changeId: string, base: number): Change => ({
	lists, base, changeId, changedBy: changeId, changedAt: 0,
});

type Put = (changeId: string, base: number) => Promise<ChangeOutcome>;
type Fixture = Readonly<{clock: VirtualClock; memory: MemoryStore; store: KeyValueStore; start: Put; put: Put}>;
type Case = Readonly<{name: string; run(fixture: Fixture): Promise<void>}>;

async function readCurrent({store}: Fixture): Promise<Configuration> {
	const reply = await store.read(configurationKey);
	return reply.kind === 'found' ? reply.stored.value as Configuration : expect.fail(reply.kind);
}

/** A writer that treats any answer but success as a failure, and then reapplies its change to the current revision. */
async function putNaively({store}: Fixture, changeId: string): Promise<string> {
	for (let attempt = 0; attempt < 2; attempt++) {
		const reply = await store.read(configurationKey);
		const current = reply.kind === 'found' ? reply.stored : undefined;
		const revision = ((current?.value as Configuration | undefined)?.revision ?? 0) + 1;
		const written = await store.write(configurationKey, {
			...lists, revision, changeId: `${changeId}-${attempt}`, changedBy: changeId, changedAt: 0,
		}, {expectedVersion: current?.version ?? 0});
		if (written.kind === 'written') {
			return 'done';
		}
	}

	return 'failed';
}

const cases: readonly Case[] = [
	{
		name: 'two operators from one base: one is refused with both revisions (lost update)',
		async run(fixture) {
			await fixture.put('first', 0);
			const outcomes = await Promise.all([fixture.start('second', 1), fixture.put('third', 1)]);
			expect(outcomes).to.deep.equal([
				{kind: 'applied', revision: 2, current: 2},
				{
					kind: 'stale-base', base: 1, current: 2, changedBy: 'second',
				},
			]);
		},
	},
	{
		name: 'answer lost after the write: the writer reports the single revision that it wrote',
		async run(fixture) {
			await fixture.put('first', 0);
			await fixture.memory.setSwitches({loseWriteAnswers: 2});
			expect(await fixture.put('second', 1)).to.deep.equal({kind: 'applied', revision: 2, current: 2});
			expect(await readCurrent(fixture)).to.include({revision: 2});
		},
	},
	{
		name: 'answer lost after the write: a naive writer applies the change twice, the actual writer does not',
		async run(fixture) {
			await fixture.memory.setSwitches({loseWriteAnswers: 1});
			const outcome = putNaively(fixture, 'naive');
			await elapse(fixture.clock, 5000);
			expect(await outcome).to.equal('done');
			expect(await readCurrent(fixture)).to.include({revision: 2});
		},
	},
	{
		name: 'answer lost and change replaced by another operator: found in the history (false refusal)',
		async run(fixture) {
			await fixture.put('first', 0);
			const {store, memory, clock} = fixture;
			await store.write(historyKeyOf(1), await readCurrent(fixture), {expectedVersion: 0});
			await memory.setSwitches({loseWriteAnswers: 1});
			const second = fixture.start('second', 1);
			await elapse(clock, 100);
			const third = fixture.start('third', 2);
			await elapse(clock, 100);
			expect(await third).to.include({kind: 'applied', revision: 3});
			await elapse(clock, 25_000);
			expect(await second).to.deep.equal({kind: 'applied', revision: 2, current: 3});
		},
	},
	{
		name: 'store unavailable from the start: reported as not written',
		async run(fixture) {
			await fixture.memory.setSwitches({outage: true});
			expect(await fixture.put('first', 0)).to.include({kind: 'unavailable'});
		},
	},
	{
		name: 'store hangs at the write and stays down: unknown, never "failed"',
		async run(fixture) {
			await fixture.memory.setSwitches({loseWriteAnswers: 1});
			const outcome = fixture.start('first', 0);
			await elapse(fixture.clock, 500);
			await fixture.memory.setSwitches({outage: true});
			await elapse(fixture.clock, 25_000);
			expect(await outcome).to.include({kind: 'unknown', changeId: 'first', revision: 1});
		},
	},
	{
		name: 'the history retains each replaced revision under its own key',
		async run(fixture) {
			for (let base = 0; base < 52; base++) {
				expect(await fixture.put(`change-${base + 1}`, base)).to.include({kind: 'applied'});
			}

			for (const revision of [2, 51]) {
				const reply = await fixture.store.read(historyKeyOf(revision));
				expect(reply.kind === 'found' && reply.stored.value).to.include({revision, changeId: `change-${revision}`});
			}
		},
	},
];

describe('writing the configuration', () => {
	for (const {name, run} of cases) {
		it(name, async () => {
			const clock = createVirtualClock();
			const memory = createMemoryStore(clock);
			const store = memory.connect();
			const start = async (changeId: string, base: number) => writeConfiguration(change(changeId, base), {
				store: memory.connect(), clock, random: createRandomSource(base + 1), timeout: 20_000,
			});
			await run({
				clock,
				memory,
				store,
				start,
				async put(changeId, base) {
					const outcome = start(changeId, base);
					await elapse(clock, 25_000, 100);
					return outcome;
				},
			});
		});
	}
});
