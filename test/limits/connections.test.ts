import {expect} from 'chai';
import * as fastCheck from 'fast-check';
import {
	chooseReleases, chooseReplacement, type ConnectionPhase, type ConnectionUse, type Release,
} from '#limits';

const budget = {totalBytes: 800, teamBytes: 400};
const now = 1000;

function useOf(connection: number, use: Partial<ConnectionUse> = {}): ConnectionUse {
	const bytes = use.bytes ?? 0;
	return {
		connection, team: `team-${connection}`, phase: 'receiving', since: now - 10, bytes, releasableBytes: bytes, hasBeenServed: false, ...use,
	};
}

type ReleaseCase = Readonly<{name: string; uses: readonly ConnectionUse[]; releases: readonly Release[]}>;

const releaseCases: readonly ReleaseCase[] = [
	{
		name: 'nothing is released within the bounds (ordinary callers refused)', uses: [useOf(1, {bytes: 400}), useOf(2, {bytes: 400})], releases: [],
	},
	{
		name: 'the connection that holds most goes first (ordinary callers refused for a crowd)',
		uses: [useOf(1, {bytes: 100}), useOf(2, {bytes: 390}), useOf(3, {bytes: 350})],
		releases: [{connection: 2, reason: 'receive-budget-exceeded'}],
	},
	{
		name: 'of two that hold the same the older goes first (slow body outlasts quick ones)',
		uses: [useOf(1, {bytes: 300}), useOf(2, {bytes: 300, since: 0}), useOf(3, {bytes: 300})],
		releases: [{connection: 2, reason: 'receive-budget-exceeded'}],
	},
	{
		name: 'a team over its part releases its own connections only (team locked out by another one)',
		uses: [useOf(1, {bytes: 300}), useOf(2, {team: 'wide', bytes: 210}), useOf(3, {team: 'wide', bytes: 200})],
		releases: [{connection: 2, reason: 'team-budget-exceeded'}],
	},
	{
		name: 'callers without a valid key share one part (keys invented to get more)',
		uses: [useOf(1, {bytes: 300}), useOf(2, {team: undefined, bytes: 210}), useOf(3, {team: undefined, bytes: 200})],
		releases: [{connection: 2, reason: 'team-budget-exceeded'}],
	},
	{
		name: 'a request being handled goes after all others (outcome unknown without need)',
		uses: [useOf(1, {phase: 'handling', bytes: 390, since: 0}), useOf(2, {bytes: 300}), useOf(3, {bytes: 290})],
		releases: [{connection: 2, reason: 'receive-budget-exceeded'}],
	},
	{
		name: 'what closing does not free is not released (request cut off in vain)',
		uses: [useOf(1, {phase: 'handling', bytes: 390, releasableBytes: 0}), useOf(2, {phase: 'handling', bytes: 390, releasableBytes: 0}), useOf(3, {bytes: 200})],
		releases: [{connection: 3, reason: 'receive-budget-exceeded'}],
	},
	{
		name: 'answers that are not read are released as well (unread answers fill the memory)',
		uses: [useOf(1, {phase: 'answering', bytes: 390}), useOf(2, {bytes: 300}), useOf(3, {bytes: 290})],
		releases: [{connection: 1, reason: 'receive-budget-exceeded'}],
	},
];

type ReplacementCase = Readonly<{name: string; uses: readonly ConnectionUse[]; replaced: number | undefined}>;

const replacementCases: readonly ReplacementCase[] = [
	{
		name: 'a connection that was refused goes first (place held by a refused client)',
		uses: [useOf(1, {phase: 'idle', since: 0}), useOf(2, {phase: 'closing'})], replaced: 2,
	},
	{
		name: 'a connection that never sent a request goes before one that did (balancer loses its connections)',
		uses: [useOf(1, {phase: 'idle', since: 0, hasBeenServed: true}), useOf(2, {phase: 'idle'})], replaced: 2,
	},
	{
		name: 'the longest idle one goes first (new caller closed at once)',
		uses: [useOf(1, {phase: 'idle'}), useOf(2, {phase: 'idle', since: 0}), useOf(3, {phase: 'idle', since: 5})], replaced: 2,
	},
	{
		name: 'an idle one goes before one that sends (request cut off)',
		uses: [useOf(1, {phase: 'receiving', since: 0}), useOf(2, {phase: 'idle', hasBeenServed: true})], replaced: 2,
	},
	{
		name: 'the slowest sender goes when none is idle (slow senders hold all places)',
		uses: [useOf(1, {phase: 'receiving'}), useOf(2, {phase: 'receiving', since: 0}), useOf(3, {phase: 'handling', since: 0})], replaced: 2,
	},
	{
		name: 'a request being handled keeps its connection (outcome unknown without need)', uses: [useOf(1, {phase: 'handling'})], replaced: undefined,
	},
];

const phases: readonly ConnectionPhase[] = ['idle', 'receiving', 'handling', 'answering', 'closing'];
const anyUse = fastCheck.record({
	phase: fastCheck.constantFrom(...phases), team: fastCheck.constantFrom('a', 'b', undefined), bytes: fastCheck.integer({min: 0, max: 500}), since: fastCheck.integer({min: 0, max: now}),
});

describe('connections of a listener', () => {
	for (const {name, uses, releases} of releaseCases) {
		it(name, () => {
			expect(chooseReleases(uses, budget, now)).to.deep.equal(releases);
		});
	}

	for (const {name, uses, replaced} of replacementCases) {
		it(name, () => {
			expect(chooseReplacement(uses)).to.equal(replaced);
		});
	}

	it('without a part for a team only the whole budget counts (wrong reason in the logs)', () => {
		const uses = [useOf(1, {team: undefined, bytes: 500}), useOf(2, {team: undefined, bytes: 400})];
		expect(chooseReleases(uses, {totalBytes: 800, teamBytes: 800}, now)).to.deep.equal([{connection: 1, reason: 'receive-budget-exceeded'}]);
	});

	it('after the releases all bounds hold, and none is released twice (crowd outgrows the budget)', () => {
		fastCheck.assert(fastCheck.property(fastCheck.array(anyUse, {maxLength: 30}), items => {
			const uses = items.map((item, index) => useOf(index, item));
			const released = chooseReleases(uses, budget, now).map(({connection}) => connection);
			const left = uses.filter(({connection}) => !released.includes(connection));
			const sum = (kept: readonly ConnectionUse[]) => kept.reduce((total, {bytes}) => total + bytes, 0);
			expect(new Set(released).size).to.equal(released.length);
			expect(sum(left)).to.be.at.most(budget.totalBytes);
			for (const team of ['a', 'b', undefined]) {
				expect(sum(left.filter(use => use.team === team))).to.be.at.most(budget.teamBytes);
			}
		}));
	});
});
