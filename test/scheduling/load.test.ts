/** Plays the load of the large deployment's crest against simulated workers and checks what callers get. */
import {expect} from 'chai';
import {createScenario, playScenario, type Played} from '../../bench/scheduling/index.js';

/** Urgent work starts within this time, according to the target. */
const urgentStartMilliseconds = 5900;

/** Share of the starts that may be in several racks: those of gangs that waited for a rack as long as they would take elsewhere. */
const spreadStartsShare = 0.1;
/** Share of the urgent jobs on time at which the deployment's days earn their upper mark. */
const urgentOnTimeShare = 0.75;

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
		name: 'gangs that belong in one rack run in one (three times as long in several, and late)',
		verify({spreadStarts, starts}) {
			expect(spreadStarts).to.be.at.most(starts * spreadStartsShare);
		},
	},
	{
		name: 'callers get most of the urgent jobs on time (rosters late behind layouts and curves)',
		verify({jobs}) {
			const urgent = jobs.filter(({kind}) => kind === 'roster');
			expect(urgent.filter(({isOnTime}) => isOnTime).length).to.be.at.least(urgent.length * urgentOnTimeShare);
		},
	},
	{
		name: 'preemption discards less than the work that ends on time (more work lost than gained)',
		verify({discardedCoreSeconds, onTimeCoreSeconds}) {
			expect(discardedCoreSeconds).to.be.below(onTimeCoreSeconds);
		},
	},
];

describe('scheduler at one and a half times the usual load with a crest', () => {
	for (const seed of [7, 8]) {
		describe(`seed ${seed}`, () => {
			let played: Played;
			before(() => {
				played = playScenario(createScenario({
					workers: 96, rate: 1.5, factor: 2.5, length: 20_000, seed,
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
