import {expect} from 'chai';
import {checkHistory} from '#soak/check';
import {planSoak} from '#soak/plan';
import {regressionSeeds, type RegressionSeed} from '#soak/regressions';
import {runSoak} from '#soak/run';
import {isWorkerFault} from '#soak/worker-faults';

/** A short run of the whole system, a closed zone under faults, and the seeds that once violated an invariant. */
const seeds: readonly RegressionSeed[] = [{
	seed: 7, size: {entries: 3, workers: 3, seconds: 8}, scope: 'programs', cause: 'a short run of the whole system',
}, {
	seed: 601, size: {entries: 3, workers: 5, seconds: 20}, scope: 'programs-and-closed-zones', cause: 'a zone is closed while programs fail',
}, ...regressionSeeds];

describe('programs under faults', () => {
	for (const {seed, size, scope, cause} of seeds) {
		it(`keep their invariants with seed ${seed} (${cause})`, async () => {
			const history = await runSoak(planSoak(seed, size, scope));
			expect(checkHistory(history)).to.deep.equal([]);
			expect(history.runs).not.to.have.length(0);
		}).timeout(120_000);
	}

	it('the same seed gives the same plan, so that a failure can be reproduced', () => {
		const size = {entries: 3, workers: 5, seconds: 20};
		expect(planSoak(5, size)).to.deep.equal(planSoak(5, size));
		expect(planSoak(5, size)).not.to.deep.equal(planSoak(6, size));
		expect(planSoak(5, size, 'programs-and-workers')).to.deep.equal(planSoak(5, size, 'programs-and-workers'));
	});

	it('faults of workers leave those of the programs as they were (regression seeds that play another plan)', () => {
		const size = {entries: 3, workers: 5, seconds: 20};
		const {faults} = planSoak(235, size);
		expect(faults.slice(0, 6).map(({at, kind}) => `${at} ${kind}`)).to.deep.equal(['322 late-starts', '3635 compact-store', '4759 store', '6075 compact-store', '8523 store', '9549 kill-entry']);
		const withWorkers = planSoak(235, size, 'programs-and-workers').faults;
		expect(withWorkers).to.include.deep.members([...faults]);
		const kinds = withWorkers.filter(fault => isWorkerFault(fault)).slice(0, 4).map(({at, kind}) => `${at} ${kind}`);
		expect(kinds).to.deep.equal(['7116 restart-worker', '7553 restart-worker', '8642 restart-worker', '11036 restart-worker']);
		expect(planSoak(235, size, 'programs-workers-and-late-returns').faults).to.include.deep.members([...withWorkers]);
	});
});
