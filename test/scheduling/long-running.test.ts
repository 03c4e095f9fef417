/** Long-running work: started wherever there is room, and stopped only for a guarantee. */
import {expect} from 'chai';
import {
	createDriver, createReadyDriver, endedRunOf, configuration, reportedRunOf, snapshotOf, startsOf, submissionOf, taskOf, type Driver,
} from '#test/support/scheduling';

type Case = Readonly<{name: string; run(): void}>;

const workerNames = ['a', 'b', 'c', 'd', 'e', 'f', 'g'] as const;

/** Submits a job and reports its starts as running at 100 percent, as workers do for long-running tasks. */
function submitAndRun(driver: Driver, number: number, step: Parameters<typeof submissionOf>[1][number], options: Parameters<typeof submissionOf>[2] = {}) {
	const starts = startsOf(driver.send({kind: 'submitted', submission: submissionOf(number, [step], {submittedAt: driver.time(), ...options})}));
	for (const {agent} of starts) {
		driver.send({kind: 'renewed', agent, snapshot: snapshotOf(agent, {running: starts.filter(start => start.agent === agent).map(({task, run}) => reportedRunOf(task, run, 100))})});
	}

	return starts;
}

const startCases: readonly Case[] = [
	{
		name: 'a task starts again although its others occupy the share of low-rank work (task missing for good after its worker left)',
		run() {
			const driver = createReadyDriver(workerNames.map(name => [name]));
			const starts = submitAndRun(driver, 1, {count: 5, accelerators: 8, isLongRunning: true});
			expect(starts).to.have.length(5);
			const effects = driver.send({
				kind: 'incarnation-ended', agent: starts[0]!.agent, worker: snapshotOf(starts[0]!.agent).worker, incarnation: '1', ending: 'left', ended: [],
			});
			expect(startsOf(effects).map(({task}) => task)).to.deep.equal([starts[0]!.task]);
		},
	},
	{
		name: 'a wide step is not limited to the first tasks (the others would never start, since the runs show no pace)',
		run() {
			const driver = createReadyDriver([['a'], ['b']]);
			expect(submitAndRun(driver, 1, {count: 12, isLongRunning: true})).to.have.length(12);
		},
	},
	{
		name: 'a task starts again under the next scheduler, which adopted the others (task missing for good after a takeover)',
		run() {
			const driver = createDriver({epoch: 2});
			driver.send({kind: 'configured', configuration});
			driver.send({
				kind: 'loaded', workers: [], jobs: [{
					submission: submissionOf(1, [{count: 12, isLongRunning: true}]), isCancelled: false, progress: {outcome: 'running', tasks: {}, agents: ['a', 'b']}, keyVersion: 5,
				}],
			});
			const running = Array.from({length: 12}, (_, index) => reportedRunOf(taskOf(1, index), 1, 100));
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {running: running.slice(0, 6)})});
			driver.send({kind: 'renewed', agent: 'b', snapshot: snapshotOf('b', {running: running.slice(6)})});
			const ended = [endedRunOf(1, taskOf(1, 0), 1, 'failed')];
			expect(startsOf(driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {running: running.slice(1, 6), ended})})).map(({task}) => task)).to.deep.equal([taskOf(1, 0)]);
		},
	},
];

describe('long-running work', () => {
	for (const {name, run} of startCases) {
		it(name, run);
	}
});
