import {expect} from 'chai';
import * as fc from 'fast-check';
import {
	compareZones, mergeZones, noClosedZones, type ClosedZones, type ZoneObservation,
} from '#zones';

const listed = (revision: number, ...closed: ReadonlyArray<readonly [string, number]>): ZoneObservation => ({kind: 'listed', revision, closed: closed.map(([zone, at]) => ({zone, revision: at}))});
const shared = (revision: number, zone: string, at: number, closedMilliseconds: number): ZoneObservation => ({kind: 'shared', revision, closed: [{zone, revision: at, closedMilliseconds}]});
const closing = (zone: string, revision: number) => ({kind: 'closed', zone, revision} as const);
const opening = (zone: string) => ({kind: 'opened', zone} as const);

type Case = Readonly<{name: string; observations: readonly ZoneObservation[]; zones: Readonly<Record<string, readonly [revision: number, since: number]>>}>;

/** The observations come at 100, 200, and so on. */
const cases: readonly Case[] = [
	{
		name: 'an older list of another entry does not open a zone (starts in a closed zone)',
		observations: [listed(7, ['a', 7]), {kind: 'shared', revision: 6, closed: []}],
		zones: {a: [7, 100]},
	},
	{
		name: 'an older list of another entry does not close a zone again (zone that stays empty)',
		observations: [listed(5, ['a', 5]), {kind: 'changed', revision: 8, changes: [opening('a')]}, shared(7, 'a', 5, 10)],
		zones: {},
	},
	{
		name: 'a zone that is closed, opened and closed again in one answer is closed (last change lost)',
		observations: [listed(1), {kind: 'changed', revision: 9, changes: [closing('a', 7), opening('a'), closing('a', 9)]}],
		zones: {a: [9, 200]},
	},
	{
		name: 'a list after lost history replaces what was known (zone closed for ever)',
		observations: [listed(5, ['a', 5], ['b', 4]), listed(9, ['b', 4], ['c', 8])],
		zones: {b: [4, 100], c: [8, 200]},
	},
	{
		name: 'a list that was read before a known closing does not open the zone (pages that are no snapshot)',
		observations: [listed(5, ['a', 8]), {kind: 'shared', revision: 6, closed: []}],
		zones: {a: [8, 100]},
	},
	{
		name: 'the time since which a zone is closed is the earliest of all entries (age that starts again at a takeover)',
		observations: [listed(5, ['a', 5]), shared(6, 'a', 5, 5000)],
		zones: {a: [5, -4800]},
	},
];

const names = ['a', 'b', 'c'] as const;

describe('closed zones', () => {
	for (const {name, observations, zones} of cases) {
		it(name, () => {
			const merged = observations.reduce((known, observation, index) => mergeZones(known, observation, (index + 1) * 100), noClosedZones);
			expect(Object.fromEntries([...merged.zones].map(([zone, {revision, since}]) => [zone, [revision, since]]))).to.deep.equal(zones);
		});
	}

	it('entries that learn of changes late, in lists and from each other, know the list of their revision (lists that drift apart)', () => {
		const stepArbitrary = fc.record({
			zone: fc.constantFrom(...names), entry: fc.nat(1), source: fc.constantFrom('none' as const, 'watch' as const, 'list' as const, 'peer' as const),
		});
		fc.assert(fc.property(fc.array(stepArbitrary, {maxLength: 40}), steps => {
			/** What the store held at each revision, with the revision of each key. */
			const history: Array<ReadonlyMap<string, number>> = [new Map()];
			const entries: ClosedZones[] = [noClosedZones, noClosedZones];
			const watched = [0, 0];
			for (const {zone, entry, source} of steps) {
				const last = history.at(-1) ?? new Map<string, number>();
				const others = [...last].filter(([name]) => name !== zone);
				history.push(new Map(last.has(zone) ? others : [...others, [zone, history.length]]));
				const revision = history.length - 1;
				const observe: Readonly<Record<typeof source, () => ZoneObservation>> = {
					none: () => listed(0),
					list: () => listed(revision, ...history[revision] ?? []),
					watch: () => describeChanges(history, watched[entry] ?? 0),
					peer: () => describeShared(entries[1 - entry] ?? noClosedZones),
				};
				entries[entry] = mergeZones(entries[entry] ?? noClosedZones, observe[source](), 0);
				watched[entry] = source === 'watch' || source === 'list' ? revision : watched[entry] ?? 0;
				for (const known of entries) {
					expect(new Map([...known.zones].map(([name, closed]) => [name, closed.revision]))).to.deep.equal(history[known.revision]);
				}
			}
		}), {seed: 1, numRuns: 300});
	});

	it('names the zones that were closed and opened, and one that was closed again as both (change missing in the logs)', () => {
		const earlier = mergeZones(noClosedZones, listed(5, ['a', 1], ['b', 2], ['c', 3]), 0);
		const {closed, opened} = compareZones(earlier, mergeZones(earlier, listed(9, ['a', 1], ['b', 8], ['d', 9]), 0));
		expect({closed: closed.map(([zone]) => zone), opened: opened.map(([zone]) => zone)}).to.deep.equal({closed: ['b', 'd'], opened: ['b', 'c']});
	});
});

function describeChanges(history: ReadonlyArray<ReadonlyMap<string, number>>, after: number): ZoneObservation {
	const changes = history.slice(after + 1).flatMap((held, index) => names
		.filter(zone => held.has(zone) !== history[after + index]?.has(zone))
		.map(zone => held.has(zone) ? closing(zone, after + index + 1) : opening(zone)));
	return {kind: 'changed', revision: history.length - 1, changes};
}

function describeShared({revision, zones}: ClosedZones): ZoneObservation {
	return {kind: 'shared', revision, closed: [...zones].map(([zone, closed]) => ({zone, revision: closed.revision, closedMilliseconds: 0}))};
}
