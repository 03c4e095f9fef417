/** Long-running work: started wherever there is room, and stopped only for a guarantee. */
import {expect} from 'chai';
import {
	createDriver, createReadyDriver, endedRunOf, configuration, keyOf, reportedRunOf, snapshotOf, startsOf, stopsOf, submissionOf, taskOf, type Driver,
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

type StopCase = Readonly<{
	name: string;
	workers: readonly string[];
	/** Jobs that hold the pool, in the order of their submission. */
	holding: ReadonlyArray<Parameters<typeof submissionOf>[1][number] & Readonly<{priority?: number}>>;
	/** The job within its guarantee. */
	arriving: Parameters<typeof submissionOf>[1][number];
	/** Numbers of the jobs of the tasks that are stopped for it, one for each task. */
	stopped: readonly number[];
	/** What changes before that job arrives. */
	before?(driver: Driver): void;
}>;

const stopCases: readonly StopCase[] = [
	{
		name: 'a guarantee is reclaimed from long-running work that permits no task to be away (guaranteed job never starts)',
		workers: ['a', 'b'], holding: [{count: 2, accelerators: 8, isLongRunning: true}], arriving: {accelerators: 4}, stopped: [1],
	},
	{
		name: 'of two steps, the one that permits a task to be away is stopped (step without permission stopped)',
		workers: ['a', 'b'], holding: [{accelerators: 8, isLongRunning: true}, {accelerators: 8, isLongRunning: true, maximumUnavailable: 1}], arriving: {accelerators: 4}, stopped: [2],
	},
	{
		name: 'a step of which as many tasks are away as it permits is stopped after others (tasks away for other causes not counted)',
		workers: ['a', 'b', 'c', 'd'],
		holding: [{
			count: 2, accelerators: 8, isLongRunning: true, maximumUnavailable: 1,
		}, {
			count: 2, accelerators: 8, isLongRunning: true, maximumUnavailable: 1,
		}],
		before(driver) {
			driver.send({
				kind: 'incarnation-ended', agent: 'a', worker: snapshotOf('a').worker, incarnation: '1', ending: 'left', ended: [],
			});
		},
		arriving: {accelerators: 8},
		stopped: [2],
	},
	{
		name: 'other runs of a lower rank are stopped first (long-running work stopped although a batch run could make room)',
		workers: ['a', 'b'], holding: [{accelerators: 8, isLongRunning: true, maximumUnavailable: 1}, {accelerators: 8, estimatedMilliseconds: 60_000}], arriving: {accelerators: 4}, stopped: [2],
	},
	{
		name: 'a gang counts as a whole (gang ended although only one of its tasks may be away)',
		workers: ['a', 'b', 'c'],
		holding: [{
			count: 2, accelerators: 8, isLongRunning: true, isGang: true, maximumUnavailable: 1,
		}, {accelerators: 8, isLongRunning: true, maximumUnavailable: 1}],
		arriving: {accelerators: 4},
		stopped: [2],
	},
	{
		name: 'a gang within a guarantee takes what the steps permit, and more only as far as it needs (more tasks away than needed)',
		workers: ['a', 'b', 'c', 'd'],
		holding: [{
			count: 4, accelerators: 8, isLongRunning: true, maximumUnavailable: 2,
		}],
		arriving: {count: 2, accelerators: 4, isGang: true},
		stopped: [1],
	},
];

/** Lists the jobs of the tasks that are stopped within a duration. */
function watchStops(driver: Driver, duration: number): readonly string[] {
	return [...new Set(stopsOf(driver.elapse(duration)))].map(task => task.slice(0, 16));
}

describe('long-running work', () => {
	for (const {name, workers, holding, before, arriving, stopped} of stopCases) {
		it(name, () => {
			const driver = createReadyDriver(workers.map(worker => [worker]));
			for (const [index, step] of holding.entries()) {
				submitAndRun(driver, index + 1, step, {priority: 2});
			}

			driver.elapse(2000);
			before?.(driver);
			driver.send({kind: 'submitted', submission: submissionOf(99, [arriving], {priority: 0, submittedAt: driver.time()})});
			expect(watchStops(driver, 600), 'before the guarantee has waited').to.deep.equal([]);
			expect(watchStops(driver, 600)).to.deep.equal(stopped.map(number => keyOf(number)));
		});
	}

	it('other urgent work does not stop long-running work (may_miss used up by work without a guarantee)', () => {
		const driver = createReadyDriver([['a']]);
		submitAndRun(driver, 1, {accelerators: 8, isLongRunning: true, maximumUnavailable: 1});
		driver.send({kind: 'submitted', submission: submissionOf(2, [{count: 2, accelerators: 8}], {priority: 0, submittedAt: driver.time()})});
		expect(watchStops(driver, 5000)).to.deep.equal([]);
	});

	for (const {name, run} of startCases) {
		it(name, run);
	}
});
