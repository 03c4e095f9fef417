/** Plays one team's surge against simulated workers and checks what callers get. */
import {expect} from 'chai';
import {
	createScenario, playScenario, surgingTenant, type Played,
} from '../../bench/scheduling/index.js';

/** More than the pool can do in the time in which jobs earn something. */
const surge = createScenario({
	workers: 24, factor: 1, length: 15_000, seed: 8, surgeRate: 60,
});
/** Short of capacity without a surge. */
const crest = createScenario({
	workers: 24, rate: 1.5, factor: 2.5, length: 15_000, seed: 8,
});

const refusedOf = ({jobs}: Played) => jobs.filter(({retryAfter}) => retryAfter !== undefined);
const earnedOf = ({jobs}: Played) => jobs.reduce((total, {earned}) => total + earned, 0);

type Plays = Readonly<{all: Played; byForecast: Played; crest: Played}>;

const checks: ReadonlyArray<Readonly<{name: string; verify(plays: Plays): void}>> = [
	{
		name: 'some jobs of the surge are refused at once (callers told when it is too late)',
		verify({byForecast}) {
			expect(refusedOf(byForecast).length).to.be.above(0);
		},
	},
	{
		name: 'none of another team is (team locked out by another one)',
		verify({byForecast}) {
			expect(refusedOf(byForecast).filter(({tenant}) => tenant !== surgingTenant)).to.deep.equal([]);
		},
	},
	{
		name: 'a refused job earned nothing when all were accepted (caller refused without need)',
		verify({all, byForecast}) {
			expect(all.jobs.filter(({earned}, index) => earned > 0 && byForecast.jobs[index]?.retryAfter !== undefined)).to.deep.equal([]);
		},
	},
	{
		name: 'refusals do not lower what callers get in total (capacity left idle)',
		verify({all, byForecast}) {
			expect(earnedOf(byForecast)).to.be.at.least(earnedOf(all));
		},
	},
	{
		name: 'a crest that only makes jobs late refuses none (caller refused without need)',
		verify(plays) {
			expect(refusedOf(plays.crest)).to.deep.equal([]);
		},
	},
];

describe('a surge of one team', () => {
	let plays: Plays;
	before(() => {
		plays = {all: playScenario(surge, {admission: 'all'}), byForecast: playScenario(surge, {admission: 'by-forecast'}), crest: playScenario(crest, {admission: 'by-forecast'})};
	});
	for (const {name, verify} of checks) {
		it(name, () => {
			verify(plays);
		});
	}
});
