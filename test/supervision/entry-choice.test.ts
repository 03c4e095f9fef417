import {expect} from 'chai';
import {chooseEntries, maximumConnectedEntries, type KnownEntry} from '#supervision';

function entries(count: number, change: Readonly<Record<string, Partial<KnownEntry>>> = {}): readonly KnownEntry[] {
	return Array.from({length: count}, (_, index) => ({
		address: `e${index}`, failures: 0, isConnected: false, ...change[`e${index}`],
	}));
}

type Case = Readonly<{name: string; known: readonly KnownEntry[]; scheduler: string | undefined; check(chosen: readonly string[]): void}>;

const cases: readonly Case[] = [
	{
		name: 'the number of connections does not grow with the number of entries (messages for each pair of agent and entry)',
		known: entries(40),
		scheduler: undefined,
		check(chosen) {
			expect(chosen).to.have.length(maximumConnectedEntries);
		},
	},
	{
		name: 'the scheduler is always chosen, even after failed attempts (leases that no grant renews)',
		known: entries(12, {e7: {failures: 9}}),
		scheduler: 'e7',
		check(chosen) {
			expect(chosen[0]).to.equal('e7');
			expect(chosen).to.have.length(maximumConnectedEntries);
		},
	},
	{
		name: 'open connections are preferred (repeated reconnects)',
		known: entries(12, {e3: {isConnected: true}, e4: {isConnected: true}, e5: {isConnected: true}}),
		scheduler: undefined,
		check(chosen) {
			expect(chosen).to.have.members(['e3', 'e4', 'e5']);
		},
	},
	{
		name: 'unreachable entries come last (agent without any entry while most are down)',
		known: entries(5, {e0: {failures: 1}, e1: {failures: 2}, e2: {failures: 1}}),
		scheduler: undefined,
		check(chosen) {
			expect(chosen).to.include.members(['e3', 'e4']);
			expect(chosen).not.to.include('e1');
		},
	},
	{
		name: 'a single entry that schedules is chosen once (second connection to the same entry)',
		known: entries(1),
		scheduler: 'e0',
		check(chosen) {
			expect(chosen).to.deep.equal(['e0']);
		},
	},
];

describe('choice of the entries that an agent connects to', () => {
	for (const {name, known, scheduler, check} of cases) {
		it(name, () => {
			check(chooseEntries(known, {agent: 'agent-1', scheduler}));
		});
	}

	it('agents are spread over the entries (all agents connected to the same entry)', () => {
		const counts = new Map<string, number>();
		for (let agent = 0; agent < 200; agent++) {
			for (const address of chooseEntries(entries(12), {agent: `side-${agent}`, scheduler: undefined})) {
				counts.set(address, (counts.get(address) ?? 0) + 1);
			}
		}

		expect(Math.max(...counts.values())).to.be.below(100);
		expect(counts.size).to.equal(12);
	});
});
