import {expect} from 'chai';
import type {WorkerId} from '#core';
import {describeProgress, type SchedulerEffect} from '#scheduling';
import {
	configuration, createDriver, createReadyDriver, keyOf, reportedRunOf, snapshotOf, startsOf, submissionOf, taskOf, type Driver,
} from '#test/support/scheduling';

/** Confirms the starts among the effects, as their workers do, and returns them. */
function confirmStarts(driver: Driver, effects: readonly SchedulerEffect[]): ReturnType<typeof startsOf> {
	const starts = startsOf(effects);
	for (const {agent, task, run} of starts) {
		driver.send({kind: 'start-answered', agent, answers: [{task, run, result: 'started'}]});
	}

	return starts;
}

/** Replaces the worker by a later incarnation, as after a crash. */
function crash(driver: Driver, agent: string, incarnation: number): readonly SchedulerEffect[] {
	driver.elapse(500);
	return driver.send({kind: 'renewed', agent, snapshot: snapshotOf(agent, {incarnation: String(incarnation)})});
}

/** Lets the task's workers crash after each start until it starts no more; returns the number of starts. */
function crashEachWorker(driver: Driver, effects: readonly SchedulerEffect[], percent: number): number {
	let starts = confirmStarts(driver, effects);
	let count = 0;
	for (let incarnation = 2; starts.length > 0 && incarnation < 20; incarnation++) {
		count++;
		const {agent = '', task = taskOf(1), run = 0} = starts[0] ?? {};
		if (percent > 0) {
			const {snapshot} = driver.state().workers.get(agent)!;
			driver.send({kind: 'renewed', agent, snapshot: {...snapshot, running: [reportedRunOf(task, run, percent)]}});
		}

		starts = confirmStarts(driver, [...crash(driver, agent, incarnation), ...driver.elapse(500)]);
	}

	return count;
}

/** Lets time pass while both agents report their workers, until a task starts. */
function listStartsWithin(driver: Driver, milliseconds: number): ReturnType<typeof startsOf> {
	for (let passed = 0; passed < milliseconds; passed += 250) {
		const effects = [...driver.state().workers.values()].flatMap(({agent, snapshot}) => driver.send({kind: 'renewed', agent, snapshot}));
		const starts = startsOf([...effects, ...driver.elapse(250)]);
		if (starts.length > 0) {
			return starts;
		}
	}

	return [];
}

type Case = Readonly<{name: string; run(): void}>;

const cases: readonly Case[] = [
	{
		name: 'a task under which three workers crashed at its start is given up (worker after worker crashes)',
		run() {
			const driver = createReadyDriver([['a'], ['b']]);
			const effects = driver.send({kind: 'submitted', submission: submissionOf(1, [{}])});
			expect(crashEachWorker(driver, effects, 0)).to.equal(3);
			expect(driver.state().jobs.get(keyOf(1))?.outcome).to.equal('failed');
		},
	},
	{
		name: 'a member of a gang that crashes its workers ends the gang (worker after worker crashes)',
		run() {
			const driver = createReadyDriver([['a'], ['b']]);
			const effects = driver.send({kind: 'submitted', submission: submissionOf(1, [{isGang: true}])});
			expect(crashEachWorker(driver, effects, 0)).to.equal(3);
			expect(driver.state().jobs.get(keyOf(1))?.outcome).to.equal('failed');
		},
	},
	{
		name: 'a task that had made progress before the crashes starts more often, as other causes are likely (sound job given up)',
		run() {
			const driver = createReadyDriver([['a'], ['b']]);
			const effects = driver.send({kind: 'submitted', submission: submissionOf(1, [{}])});
			expect(crashEachWorker(driver, effects, 40)).to.equal(5);
		},
	},
	{
		name: 'a task whose runs last long starts however often its workers crash (long-running work given up)',
		run() {
			const driver = createReadyDriver([['a']]);
			let starts = confirmStarts(driver, driver.send({kind: 'submitted', submission: submissionOf(1, [{isLongRunning: true}])}));
			for (let incarnation = 2; incarnation < 12; incarnation++) {
				const {task = taskOf(1), run = 0} = starts[0] ?? {};
				const {snapshot} = driver.state().workers.get('a')!;
				driver.send({kind: 'renewed', agent: 'a', snapshot: {...snapshot, running: [reportedRunOf(task, run, 100)]}});
				driver.elapse(40_000);
				starts = confirmStarts(driver, [...crash(driver, 'a', incarnation), ...driver.elapse(500)]);
				expect(starts).to.have.length(1);
			}
		},
	},
	{
		name: 'the next scheduler counts the crashes before its term (budget that begins anew with each takeover)',
		run() {
			const driver = createReadyDriver([['a']]);
			confirmStarts(driver, driver.send({kind: 'submitted', submission: submissionOf(1, [{}])}));
			confirmStarts(driver, [...crash(driver, 'a', 2), ...driver.elapse(500)]);
			crash(driver, 'a', 3);
			const progress = structuredClone(describeProgress(driver.state().jobs.get(keyOf(1))!));
			const next = createDriver({epoch: 2});
			next.send({kind: 'configured', configuration});
			next.send({
				kind: 'loaded', workers: [], jobs: [{
					submission: submissionOf(1, [{}]), isCancelled: false, progress, keyVersion: 1,
				}],
			});
			const effects = next.send({kind: 'renewed', agent: 'b', snapshot: snapshotOf('b')});
			expect(crashEachWorker(next, effects, 0)).to.equal(1);
			expect(next.state().jobs.get(keyOf(1))?.outcome).to.equal('failed');
		},
	},
	{
		name: 'the next scheduler hears from agents of crashes that the last one did not store (budget that grows with each takeover)',
		run() {
			const lost = [1, 2, 3].map(run => ({task: taskOf(1), run}));
			const driver = createDriver({epoch: 2});
			driver.send({kind: 'configured', configuration});
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {lost})});
			const effects = driver.send({
				kind: 'loaded', workers: [], jobs: [{
					submission: submissionOf(1, [{}]), isCancelled: false, progress: undefined, keyVersion: 0,
				}],
			});
			expect(startsOf([...effects, ...driver.elapse(1000)])).to.deep.equal([]);
			expect(driver.state().jobs.get(keyOf(1))?.outcome).to.equal('failed');
		},
	},
	{
		name: 'a crash that an agent reports again and again counts once (sound job given up)',
		run() {
			const driver = createReadyDriver([['a'], ['b']]);
			confirmStarts(driver, driver.send({kind: 'submitted', submission: submissionOf(1, [{}])}));
			const snapshot = snapshotOf('a', {incarnation: '2', lost: [{task: taskOf(1), run: 1}]});
			for (let count = 0; count < 5; count++) {
				driver.send({kind: 'renewed', agent: 'a', snapshot});
			}

			expect(driver.state().jobs.get(keyOf(1))?.tasks.get(taskOf(1))?.crashes).to.deep.equal([{run: 1, hadProgress: false}]);
		},
	},
	{
		name: 'workers that start again for another reason after a start that they did not answer are no crashes of its task (sound job shown as failed)',
		run() {
			const driver = createReadyDriver([['a'], ['b']]);
			let starts = startsOf(driver.send({kind: 'submitted', submission: submissionOf(1, [{}])}));
			for (let incarnation = 2; incarnation < 6; incarnation++) {
				const {agent = '', task = taskOf(1), run = 0} = starts[0] ?? {};
				expect(run).to.equal(incarnation - 1);
				driver.send({kind: 'start-answered', agent, answers: [{task, run, result: 'unknown'}]});
				driver.elapse(1000);
				driver.send({kind: 'renewed', agent, snapshot: snapshotOf(agent, {incarnation: String(incarnation)})});
				driver.send({
					kind: 'stop-answered', agent, incarnation: String(incarnation), orders: [{task, run}],
				});
				starts = listStartsWithin(driver, 20_000);
			}

			expect(driver.state().jobs.get(keyOf(1))?.outcome).to.equal('running');
		},
	},
	{
		name: 'jobs that lost the same worker at their start go on apart, and no other work joins them before they make progress (sound job given up with the one that crashes workers)',
		run() {
			const driver = createReadyDriver([['a']]);
			confirmStarts(driver, driver.send({kind: 'submitted', submission: submissionOf(1, [{}])}));
			confirmStarts(driver, driver.send({kind: 'submitted', submission: submissionOf(2, [{}])}));
			driver.send({kind: 'renewed', agent: 'b', snapshot: snapshotOf('b', {worker: 'w-b' as WorkerId})});
			const starts = confirmStarts(driver, [...crash(driver, 'a', 2), ...driver.elapse(250)]);
			expect(starts.map(({agent}) => agent).toSorted()).to.deep.equal(['a', 'b']);
			expect(startsOf(driver.send({kind: 'submitted', submission: submissionOf(3, [{}])}))).to.deep.equal([]);
			const [{agent, task, run}] = starts as [ReturnType<typeof startsOf>[number]];
			const {snapshot} = driver.state().workers.get(agent)!;
			const effects = driver.send({kind: 'renewed', agent, snapshot: {...snapshot, running: [reportedRunOf(task, run, 5)]}});
			expect(startsOf([...effects, ...driver.elapse(250)])).to.deep.include({
				agent, task: taskOf(3), run: 1, checkpoint: '',
			});
		},
	},
	{
		name: 'the tasks of a job that lost a worker start on one worker at a time (many workers crash at once)',
		run() {
			const driver = createReadyDriver([['a', {capacity: {processorMillicores: 4000, memoryMegabytes: 4000, accelerators: 2}}]]);
			confirmStarts(driver, driver.send({kind: 'submitted', submission: submissionOf(1, [{count: 2}])}));
			for (const name of ['b', 'c']) {
				driver.send({kind: 'renewed', agent: name, snapshot: snapshotOf(name, {capacity: {processorMillicores: 1000, memoryMegabytes: 4000, accelerators: 1}})});
			}

			driver.elapse(500);
			const capacity = {processorMillicores: 1000, memoryMegabytes: 4000, accelerators: 1};
			const effects = driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {incarnation: '2', capacity})});
			expect(confirmStarts(driver, [...effects, ...driver.elapse(500)])).to.have.length(1);
		},
	},
	{
		name: 'a task that lost a worker starts beside others if no worker is idle for long (job waits for ever in a full pool)',
		run() {
			const driver = createReadyDriver([['a'], ['b']]);
			const busy = confirmStarts(driver, driver.send({kind: 'submitted', submission: submissionOf(1, [{count: 2, maximumPerWorker: 1}])}));
			const report = () => {
				for (const {agent, task, run} of busy) {
					const {snapshot} = driver.state().workers.get(agent)!;
					driver.send({kind: 'renewed', agent, snapshot: {...snapshot, running: [reportedRunOf(task, run, 20)]}});
				}
			};

			report();
			driver.send({kind: 'renewed', agent: 'c', snapshot: snapshotOf('c', {labels: ['x', 'r-1']})});
			confirmStarts(driver, driver.send({kind: 'submitted', submission: submissionOf(2, [{requiredLabel: 'x'}])}));
			const effects = driver.send({kind: 'renewed', agent: 'c', snapshot: snapshotOf('c', {incarnation: '2', labels: ['x', 'r-1'], state: 'draining'})});
			driver.send({kind: 'renewed', agent: 'a', snapshot: {...driver.state().workers.get('a')!.snapshot, labels: ['x', 'r-1']}});
			expect(startsOf(effects)).to.deep.equal([]);
			expect(startsOf(driver.elapse(1000))).to.deep.equal([]);
			expect(startsOf(driver.elapse(2000)).map(({task}) => task)).to.deep.equal([taskOf(2)]);
		},
	},
	{
		name: 'the end of a worker that left, or whose agent was lost, is no crash (sound job given up)',
		run() {
			const driver = createReadyDriver([['a']]);
			confirmStarts(driver, driver.send({kind: 'submitted', submission: submissionOf(1, [{}])}));
			for (let incarnation = 1; incarnation < 5; incarnation++) {
				driver.send({
					kind: 'incarnation-ended', agent: 'a', worker: 'w-a' as WorkerId, incarnation: String(incarnation), ending: 'left', ended: [],
				});
				confirmStarts(driver, driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {incarnation: String(incarnation + 1)})}));
			}

			expect(driver.state().jobs.get(keyOf(1))?.outcome).to.equal('running');
		},
	},
];

describe('tasks that crash workers', () => {
	for (const {name, run} of cases) {
		it(name, run);
	}
});
