import {expect} from 'chai';
import fastCheck from 'fast-check';
import {writeConfiguration} from '#command-line';
import {configurationKey, type ChangeOutcome, type Configuration} from '#configuration';
import {createRandomSource, pickInteger, type RandomSource} from '#core';
import {createVirtualClock, type VirtualClock} from '#kernel';
import {createMemoryStore, type StoreSwitches} from '#stand-ins';
import {storeTimeoutMilliseconds, type KeyValueStore, type WriteReply} from '#store';
import {elapse} from '#test/support/virtual-time';

const operators = 3;
const changesEach = 3;
const timeout = 8000;

/** Delays some writes, so that they are applied after their sender has timed out. */
function delayWrites(store: KeyValueStore, clock: VirtualClock, random: RandomSource): KeyValueStore {
	return {
		...store,
		write: async (key, value, options) => new Promise<WriteReply>(resolve => {
			const delay = random() < 0.3 ? pickInteger(random, 2 * storeTimeoutMilliseconds) : 0;
			clock.schedule(storeTimeoutMilliseconds, () => {
				resolve({kind: 'unavailable', effect: 'perhaps-applied', message: 'timed out'});
			});
			clock.schedule(delay, () => {
				void store.write(key, value, options).then(resolve);
			});
		}),
	};
}

const faults: ReadonlyArray<Partial<StoreSwitches>> = [
	{loseWriteAnswers: 1}, {loseWriteAnswers: 3}, {outage: true}, {hang: true}, {slownessMilliseconds: 2500}, {slownessMilliseconds: 300},
];
const noFault: Partial<StoreSwitches> = {
	loseWriteAnswers: 0, outage: false, hang: false, slownessMilliseconds: 0,
};

type Told = Readonly<{changeId: string; outcome: ChangeOutcome}>;
type History = Readonly<{told: readonly Told[]; written: readonly Configuration[]}>;

async function simulate(seed: number): Promise<History> {
	const clock = createVirtualClock();
	const memory = createMemoryStore(clock);
	const random = createRandomSource(seed);
	const told: Told[] = [];
	const operate = async (operator: number) => {
		for (let change = 0; change < changesEach; change++) {
			const store = delayWrites(memory.connect(), clock, random);
			const present = await store.read(configurationKey);
			const base = present.kind === 'found' ? (present.stored.value as Configuration).revision : 0;
			const changeId = `${operator}-${change}`;
			const outcome = await writeConfiguration({
				lists: {plans: [], allowances: []}, base, changeId, changedBy: String(operator), changedAt: 0,
			}, {
				store, clock, random, timeout,
			});
			told.push({changeId, outcome});
		}
	};

	const operating = Promise.all(Array.from({length: operators}, async (_, operator) => operate(operator)));
	for (let turn = 0; turn < 12; turn++) {
		await memory.setSwitches(faults[pickInteger(random, faults.length)] ?? noFault);
		await elapse(clock, pickInteger(random, 3000), 100);
		await memory.setSwitches(noFault);
		await elapse(clock, pickInteger(random, 3000), 100);
	}

	await elapse(clock, operators * changesEach * timeout, 100);
	await operating;
	const reply = await memory.connect().watch(configurationKey, 0, 100);
	const events = reply.kind === 'events' ? reply.events : [];
	return {told, written: events.flatMap(event => event.kind === 'put' && event.stored.key === configurationKey ? [event.stored.value as Configuration] : [])};
}

type Case = Readonly<{name: string; check(history: History): void}>;

const cases: readonly Case[] = [
	{
		name: 'revisions increase by one and no change is written twice (duplicate change)',
		check({written}) {
			expect(written.map(({revision}) => revision)).to.deep.equal(written.map((_, index) => index + 1));
			expect(new Set(written.map(({changeId}) => changeId)).size).to.equal(written.length);
		},
	},
	{
		name: 'a change that was reported as applied is stored under its revision (false success)',
		check({told, written}) {
			for (const {changeId, outcome} of told) {
				if (outcome.kind === 'applied') {
					expect(written[outcome.revision - 1]).to.include({changeId});
				}
			}
		},
	},
	{
		name: 'a change that was reported as refused or not written never takes effect, not even late (false failure)',
		check({told, written}) {
			const present = new Set(written.map(({changeId}) => changeId));
			const denied = told.filter(({outcome}) => outcome.kind === 'stale-base' || outcome.kind === 'unavailable');
			expect(denied.filter(({changeId}) => present.has(changeId))).to.deep.equal([]);
		},
	},
];

describe('writing the configuration under random faults', () => {
	for (const {name, check} of cases) {
		it(name, async () => {
			await fastCheck.assert(fastCheck.asyncProperty(fastCheck.integer({min: 1, max: 1_000_000}), async seed => {
				check(await simulate(seed));
			}), {numRuns: 40, seed: 16});
		});
	}
});
