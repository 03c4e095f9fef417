import {expect} from 'chai';
import {checkHistory} from '#soak/check';
import {planSoak} from '#soak/plan';
import {regressionSeeds, type RegressionSeed} from '#soak/regressions';
import {runSoak} from '#soak/run';

/** One short run of everything, and the seeds that ever broke a promise. */
const seeds: readonly RegressionSeed[] = [{seed: 7, size: {entries: 3, workers: 3, seconds: 8}, cause: 'a short run of everything'}, ...regressionSeeds];

describe('programs under faults', () => {
	for (const {seed, size, cause} of seeds) {
		it(`keep their promises with seed ${seed} (${cause})`, async () => {
			const history = await runSoak(planSoak(seed, size));
			expect(checkHistory(history)).to.deep.equal([]);
			expect(history.runs).not.to.have.length(0);
		}).timeout(120_000);
	}

	it('one seed gives one plan (failure that cannot be played again)', () => {
		const size = {entries: 3, workers: 5, seconds: 20};
		expect(planSoak(5, size)).to.deep.equal(planSoak(5, size));
		expect(planSoak(5, size)).not.to.deep.equal(planSoak(6, size));
	});
});
