/** Plays the load of the large deployment's crest against simulated workers and checks what callers get. */
import {expect} from 'chai';
import {createScenario, playScenario, type Played} from '../../bench/scheduling/index.js';

/** Urgent work starts within this time, according to the target. */
const urgentStartMilliseconds = 5900;

type Check = Readonly<{name: string; verify(played: Played): void}>;

const checks: readonly Check[] = [
	{
		name: 'no runs are stopped for a unit while its earlier stops are under way (pool emptied for one gang)',
		verify({repeatedStops}) {
			expect(repeatedStops).to.equal(0);
		},
	},
	{
		name: 'urgent jobs start in time (rosters stuck behind long layouts)',
		verify({jobs}) {
			const waits = jobs.filter(({kind}) => kind === 'roster').map(({wait}) => wait ?? Infinity);
			expect(Math.max(...waits)).to.be.at.most(urgentStartMilliseconds);
		},
	},
	{
		name: 'preemption discards less than the work that ends on time (more work lost than gained)',
		verify({discardedCoreSeconds, onTimeCoreSeconds}) {
			expect(discardedCoreSeconds).to.be.below(onTimeCoreSeconds);
		},
	},
];

describe('scheduler at twice the usual load', () => {
	for (const seed of [7, 8]) {
		describe(`seed ${seed}`, () => {
			let played: Played;
			before(() => {
				played = playScenario(createScenario('crest', {
					workers: 48, factor: 2, length: 24_000, seed,
				}));
			});
			for (const {name, verify} of checks) {
				it(name, () => {
					verify(played);
				});
			}
		});
	}
});
