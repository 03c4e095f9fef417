import {expect} from 'chai';
import {
	admissionService, configurationService, coordinatorPlugins, forecastService, leadershipService, undecidedService, type CoordinatorContext,
} from '#coordinator';
import {
	createCounters, createServices, createVirtualClock, silentLog, type VirtualClock,
} from '#kernel';
import type {RpcPeer} from '#transport';
import {callMethod} from '#test/support/scheduling-entry';
import {startZones} from '#test/support/zones';

const path = '/batch/00000000000000a1';

/** Longer than a write without a reply can be late. */
const lateMilliseconds = 13_000;

/** Entries exchange this often. */
const intervalMilliseconds = 700;

function startEntry(clock: VirtualClock): CoordinatorContext {
	const services = createServices();
	const configuration: unknown = {read: () => ({}), send: () => undefined};
	const leadership: unknown = {read: () => ({highestEpoch: 1}), send: () => undefined};
	services.provide(configurationService, configuration as never);
	services.provide(leadershipService, leadership as never);
	services.provide(admissionService, {
		request: () => ({kind: 'admitted'}), preview: () => ({kind: 'admitted'}), describe: () => undefined, observe: () => undefined,
	});
	services.provide(forecastService, {
		request: () => ({kind: 'accept', reason: 'no-forecast'}),
		preview: () => ({decision: {kind: 'accept', reason: 'no-forecast'}, estimate: undefined}),
		describe: () => undefined,
		observe: () => undefined,
	});
	const context = {
		services, clock, counters: createCounters(), log: silentLog,
	} as unknown as CoordinatorContext;
	startZones(context);
	coordinatorPlugins.tasks().find(({name}) => name === 'undecided')?.start(context);
	return context;
}

type Case = Readonly<{
	name: string;
	/** When the submission stays undecided at the first entry. */
	undecidedAt: readonly number[];
	/** Which entries exchange with each other. */
	links: ReadonlyArray<readonly [number, number]>;
	/** When all entries take it for undecided, and when none does any more. */
	knownFrom: number;
	knownUntil: number;
	forgottenAt: number;
}>;

const allLinks = [[0, 1], [0, 2], [1, 0], [1, 2], [2, 0], [2, 1]] as const;

const cases: readonly Case[] = [
	{
		name: 'is known to all entries while a write of it may be late, and forgotten after it (list that grows without end)',
		undecidedAt: [0], links: allLinks, knownFrom: 1000, knownUntil: lateMilliseconds, forgottenAt: 90_000,
	},
	{
		name: 'counts from its last attempt (refused submission that is stored late)',
		undecidedAt: [0, 25_000], links: allLinks, knownFrom: 1000, knownUntil: 25_000 + lateMilliseconds, forgottenAt: 115_000,
	},
	{
		name: 'is known to an entry that only another one reaches (refused submission that is stored late)',
		undecidedAt: [0], links: [[0, 1], [2, 1]], knownFrom: 2000, knownUntil: lateMilliseconds, forgottenAt: 90_000,
	},
];

describe('undecided submissions', () => {
	for (const {name, undecidedAt, links, knownFrom, knownUntil, forgottenAt} of cases) {
		it(`a submission without an outcome ${name}`, async () => {
			const clock = createVirtualClock();
			const startedAt = clock.monotonic();
			const entries = [startEntry(clock), startEntry(clock), startEntry(clock)];
			const [first] = entries;
			const remaining = [...undecidedAt];
			for (let elapsed = 0; elapsed <= forgottenAt; elapsed = clock.monotonic() - startedAt) {
				if (elapsed >= (remaining[0] ?? Infinity)) {
					remaining.shift();
					first?.services.use(undecidedService).add({path, age: 0});
					clock.advance(intervalMilliseconds / 2);
				}

				for (const [caller, called] of links.map(link => link.map(index => entries[index]!))) {
					const undecided = caller!.services.use(undecidedService).list().submissions;
					const shared = {
						entry: 'e', configurationVersion: 0, epoch: 1, undecided: undecided.map(submission => submission.path), undecidedAges: undecided.map(({age}) => age),
					};
					const reply = await callMethod('entry.exchange', shared, called!, {} as RpcPeer);
					await callMethod('entry.exchange', reply, caller!, {} as RpcPeer);
					clock.advance(intervalMilliseconds / links.length);
				}

				if (elapsed >= knownFrom && elapsed <= knownUntil) {
					expect(entries.map(({services}) => services.use(undecidedService).has(path)), `${elapsed} ms`).to.deep.equal([true, true, true]);
				}
			}

			expect(entries.map(({services}) => services.use(undecidedService).has(path))).to.deep.equal([false, false, false]);
			expect(entries.flatMap(({services}) => services.use(undecidedService).list().submissions)).to.deep.equal([]);
		});
	}

	it('a flood of them is bounded, and any submission may then be one of them until it is over (memory exhausted, or refused submission that is stored late)', async () => {
		const clock = createVirtualClock();
		const [first, second] = [startEntry(clock), startEntry(clock)];
		for (let number = 0; number < 10_000; number++) {
			first.services.use(undecidedService).add({path: `/batch/${number.toString(16).padStart(16, '0')}`, age: 0});
		}

		const exchange = async (from: CoordinatorContext, to: CoordinatorContext) => {
			const state = await callMethod('entry.exchange', {
				entry: 'e', configurationVersion: 0, epoch: 1, undecided: [], undecidedAges: [],
			}, from, {} as RpcPeer);
			await callMethod('entry.exchange', {entry: 'e', ...state as object}, to, {} as RpcPeer);
		};

		expect(first.services.use(undecidedService).list().submissions.length).to.be.below(10_000);
		const last = `/batch/${(9999).toString(16).padStart(16, '0')}`;
		for (let elapsed = 0; elapsed <= lateMilliseconds; elapsed += intervalMilliseconds) {
			await exchange(first, second);
			await exchange(second, first);
			expect([first, second].map(({services}) => services.use(undecidedService).has(last)), `${elapsed} ms`).to.deep.equal([true, true]);
			clock.advance(intervalMilliseconds);
		}

		for (let elapsed = 0; elapsed <= 90_000; elapsed += intervalMilliseconds) {
			await exchange(first, second);
			await exchange(second, first);
			clock.advance(intervalMilliseconds);
		}

		expect([first, second].map(({services}) => services.use(undecidedService).has(last))).to.deep.equal([false, false]);
		expect([first, second].map(({services}) => services.use(undecidedService).list())).to.deep.equal([{kind: 'whole', submissions: []}, {kind: 'whole', submissions: []}]);
	});
});
