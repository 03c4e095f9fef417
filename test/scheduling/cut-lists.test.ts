/** A run that a worker does not list may have ended, as long as the worker lists only a part of its ends. */
import {expect} from 'chai';
import {lateCallMilliseconds} from '#jobs';
import {
	orderDeliveryMilliseconds, unreadMilliseconds, type SchedulerEffect, type SchedulerMessage,
} from '#scheduling';
import {
	configuration, createDriver, createReadyDriver, endedRunOf, keyOf, reportedRunOf, snapshotOf, startsOf, stopsOf, submissionOf, taskOf, type Driver, type WorkerOptions,
} from '#test/support/scheduling';

const task = taskOf(1);
const renewal = (agent: string, worker: WorkerOptions = {}): SchedulerMessage => ({kind: 'renewed', agent, snapshot: snapshotOf(agent, worker)});
/** Ends of other jobs fill the list. */
const otherEnds = [endedRunOf(1, taskOf(8), 1, 'done'), endedRunOf(2, taskOf(9), 1, 'done')];
const cut: WorkerOptions = {ended: otherEnds, areEndsCut: true};
const wholeWithEnd: WorkerOptions = {ended: [...otherEnds, endedRunOf(3, task, 1, 'done')]};
const stopConfirmed: SchedulerMessage = {
	kind: 'stop-answered', agent: 'a', incarnation: '1', orders: [{task, run: 1}],
};

/** Lets time pass while both agents report. */
function pass(driver: Driver, duration: number, worker: WorkerOptions | undefined): readonly SchedulerEffect[] {
	const effects: SchedulerEffect[] = [];
	for (let passed = 0; passed < duration; passed += 500) {
		effects.push(
			...(worker === undefined ? [] : driver.send(renewal('a', worker))),
			...driver.send(renewal('b')),
			...driver.elapse(500),
		);
	}

	return effects;
}

/** A scheduler whose only task runs beside agent `a`. */
function startTask(answered: 'started' | 'unknown' = 'started'): Driver {
	const driver = createReadyDriver([['a']]);
	driver.send({kind: 'submitted', submission: submissionOf(1, [{}])});
	driver.send({kind: 'start-answered', agent: 'a', answers: [{task, run: 1, result: answered}]});
	driver.send(renewal('b'));
	return driver;
}

/** A scheduler that takes over while the worker beside agent `a` may hold the end of the task. */
function takeOver(reportsBeforeLoad: boolean, worker: WorkerOptions): Driver {
	const driver = createDriver({epoch: 2});
	driver.send({kind: 'configured', configuration});
	const reports = [renewal('a', worker), renewal('b')];
	for (const report of reportsBeforeLoad ? reports : []) {
		driver.send(report);
	}

	driver.send({
		kind: 'loaded',
		jobs: [{
			submission: submissionOf(1, [{}]), isCancelled: false, progress: {outcome: 'running', tasks: {}, agents: ['a']}, keyVersion: 1,
		}],
		workers: [{agent: 'a', worker: snapshotOf('a').worker}],
	});
	for (const report of reports) {
		driver.send(report);
	}

	return driver;
}

const tasksStarted = (effects: readonly SchedulerEffect[]) => startsOf(effects).map(start => start.task);
const isCompleted = (driver: Driver) => driver.state().jobs.get(keyOf(1))?.outcome === 'completed';

type Case = Readonly<{name: string; run(): void}>;

const cases: readonly Case[] = [
	{
		name: 'a run that is missing from a cut list is not stopped, and its end counts once it is listed (task that is done runs again)',
		run() {
			const driver = startTask();
			const effects = pass(driver, 20_000, cut);
			expect([stopsOf(effects), tasksStarted(effects)]).to.deep.equal([[], []]);
			driver.send(renewal('a', wholeWithEnd));
			expect(isCompleted(driver)).to.equal(true);
		},
	},
	{
		name: 'a run that is missing from the next whole list has not ended there, and its task starts again (task that never runs)',
		run() {
			const driver = startTask();
			pass(driver, 5000, cut);
			expect(stopsOf(driver.send(renewal('a', {ended: otherEnds})))).to.deep.equal([task]);
			driver.send(stopConfirmed);
			expect(tasksStarted(pass(driver, 1000, {ended: otherEnds}))).to.deep.equal([task]);
		},
	},
	{
		name: 'a confirmed stop does not release a run that a cut list leaves out (task that is done runs again)',
		run() {
			const driver = startTask('unknown');
			pass(driver, 2000, {});
			driver.send(stopConfirmed);
			const effects = pass(driver, 2 * (lateCallMilliseconds + orderDeliveryMilliseconds), cut);
			expect(tasksStarted(effects)).to.deep.equal([]);
			driver.send(renewal('a', wholeWithEnd));
			expect(isCompleted(driver)).to.equal(true);
		},
	},
	{
		name: 'a confirmed stop is not ordered again while the list is cut (worker flooded with stops)',
		run() {
			const driver = startTask('unknown');
			pass(driver, 2000, {});
			driver.send(stopConfirmed);
			expect(stopsOf(pass(driver, 10_000, cut))).to.deep.equal([]);
		},
	},
	{
		name: 'a run that a cut list leaves out is not stuck (sound worker avoided)',
		run() {
			const driver = startTask();
			driver.send(renewal('a', {running: [reportedRunOf(task, 1, 40)]}));
			pass(driver, 10_000, cut);
			expect(driver.state().workers.get('a')?.health.failedJobs).to.deep.equal([]);
			expect(driver.state().jobs.get(keyOf(1))?.tasks.get(task)?.avoided).to.deep.equal([]);
		},
	},
	{
		name: 'a start without an answer may be one of the ends that are not listed, also when it can no longer be carried out (task that is done runs again)',
		run() {
			const driver = startTask('unknown');
			pass(driver, 2000, {unansweredStarts: {knownForMilliseconds: 60_000, starts: [{task, run: 1, remainingMilliseconds: lateCallMilliseconds}]}});
			driver.send(stopConfirmed);
			// The list is whole when the run is released, and cut afterwards.
			const released = pass(driver, 500, {unansweredStarts: {knownForMilliseconds: 60_000, starts: [{task, run: 1, remainingMilliseconds: lateCallMilliseconds}]}});
			const effects = pass(driver, 2 * (lateCallMilliseconds + orderDeliveryMilliseconds), {...cut, unansweredStarts: {knownForMilliseconds: 60_000, starts: []}});
			expect(tasksStarted([...released, ...effects])).to.deep.equal([]);
			expect(tasksStarted(pass(driver, 1000, {ended: otherEnds}))).to.deep.equal([task]);
		},
	},
	{
		name: 'a task whose start was not answered starts again once its worker is lost for good (task that waits for a list that never comes)',
		run() {
			const driver = startTask();
			pass(driver, 2000, cut);
			driver.send({kind: 'detached', agent: 'a'});
			expect(tasksStarted(pass(driver, 12_000, undefined))).to.deep.equal([task]);
		},
	},
	...[true, false].flatMap((reportsBeforeLoad): readonly Case[] => {
		const moment = reportsBeforeLoad ? 'before the stored jobs are loaded' : 'after the stored jobs are loaded';
		return [
			{
				name: `a new scheduler that receives a cut list ${moment} starts nothing whose end may be missing (task that is done runs again)`,
				run() {
					const driver = takeOver(reportsBeforeLoad, cut);
					expect(tasksStarted(pass(driver, 2 * unreadMilliseconds, cut))).to.deep.equal([]);
					driver.send(renewal('a', wholeWithEnd));
					expect(isCompleted(driver)).to.equal(true);
				},
			},
			{
				name: `a new scheduler that receives a cut list ${moment} starts what the whole list does not name (task that never runs)`,
				run() {
					const driver = takeOver(reportsBeforeLoad, cut);
					pass(driver, 2000, cut);
					expect(tasksStarted(pass(driver, 500, {ended: otherEnds}))).to.deep.equal([task]);
				},
			},
			{
				name: `a new scheduler that receives a cut list ${moment} starts it elsewhere once the worker is lost for good (task that never runs)`,
				run() {
					const driver = takeOver(reportsBeforeLoad, cut);
					driver.send({kind: 'detached', agent: 'a'});
					expect(tasksStarted(pass(driver, unreadMilliseconds + 1000, undefined))).to.deep.equal([task]);
				},
			},
		];
	}),
];

describe('lists of ends that are cut', () => {
	for (const {name, run} of cases) {
		it(name, run);
	}
});
