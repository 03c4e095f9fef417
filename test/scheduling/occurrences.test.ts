/** The scheduler holds what is open, whatever callers submitted: occurrences that are due, within a bound over all jobs. */
import {expect} from 'chai';
import * as fastCheck from 'fast-check';
import {checkInput} from '#core';
import {
	formatRanges, formatTaskName, jobProgressSchema, parseRanges, type JobProgress, type JobSubmission, type Schedule,
} from '#jobs';
import {
	countOpenTasks, describeProgress, maximumOpenTasks,
} from '#scheduling';
import {
	configuration, createDriver, createReadyDriver, endedRunOf, keyOf, reportedRunOf, snapshotOf, startsOf, submissionOf, type Driver,
} from '#test/support/scheduling';

const minute = 60_000;
const schedule: Schedule = {firstRunAt: 0, intervalMilliseconds: minute, occurrences: 1000};
/** Largest value that the store takes. */
const maximumValueBytes = 1_048_576;

function scheduledOf(number: number, count: number, changes: Partial<Schedule> = {}, priority = 2): JobSubmission {
	const submission = submissionOf(number, [{count}], {priority});
	return {...submission, request: {...submission.request, schedule: {...schedule, ...changes}}};
}

const jobOf = (driver: Driver, number: number) => driver.state().jobs.get(keyOf(number))!;

/** Lets the tasks that are due start, and reports that they are done. */
function finishRuns(driver: Driver, worker: {ends: number}): void {
	driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a')});
	const runs = [...driver.state().jobs.values()].flatMap(({tasks}) => [...tasks].flatMap(([name, {run}]) => run === undefined ? [] : [{name, run: run.run}]));
	const ended = runs.map(({name, run}) => endedRunOf(++worker.ends, name, run, 'done'));
	driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {ended})});
}

/** A scheduler that takes over with the stored jobs. */
function takeOver(stored: ReadonlyArray<Readonly<{submission: JobSubmission; progress: JobProgress | undefined}>>, start = 0): Driver {
	const driver = createDriver({epoch: 2, start});
	driver.send({kind: 'configured', configuration});
	driver.send({
		kind: 'loaded', workers: [], jobs: stored.map(({submission, progress}) => ({
			submission, isCancelled: false, progress, keyVersion: progress === undefined ? 0 : 1,
		})),
	});
	return driver;
}

type Case = Readonly<{name: string; run(): void}>;

const cases: readonly Case[] = [
	{
		name: 'a job of many occurrences holds the tasks of those that are due (memory exhausted at its acceptance)',
		run() {
			const driver = createReadyDriver([]);
			driver.send({kind: 'submitted', submission: scheduledOf(1, 20)});
			expect(countOpenTasks(driver.state())).to.equal(20);
			driver.elapse(3 * minute);
			expect(countOpenTasks(driver.state())).to.equal(80);
		},
	},
	{
		name: 'after a takeover as well (memory exhausted at the takeover)',
		run() {
			const jobs = Array.from({length: 200}, (_, index) => ({submission: scheduledOf(index + 1, 20, {firstRunAt: minute}), progress: undefined}));
			const driver = takeOver(jobs);
			expect(countOpenTasks(driver.state())).to.equal(0);
			driver.elapse(minute);
			expect(countOpenTasks(driver.state())).to.equal(4000);
		},
	},
	{
		name: 'tasks of occurrences that are done are dropped, and the job ends with the last one (memory that only grows, or job that never completes)',
		run() {
			const driver = createReadyDriver([['a']]);
			const worker = {ends: 0};
			driver.send({kind: 'submitted', submission: scheduledOf(1, 3, {occurrences: 4})});
			for (let occurrence = 0; occurrence < 4; occurrence++) {
				expect(jobOf(driver, 1).outcome).to.equal('running');
				expect([...jobOf(driver, 1).taskNames.keys()]).to.deep.equal([occurrence]);
				finishRuns(driver, worker);
				driver.elapse(minute);
			}

			expect(jobOf(driver, 1).outcome).to.equal('completed');
			expect(countOpenTasks(driver.state())).to.equal(0);
		},
	},
	{
		name: 'an occurrence that is done does not run again under the next scheduler (tasks that run twice)',
		run() {
			const submission = scheduledOf(1, 3, {occurrences: 4});
			const driver = createReadyDriver([['a']]);
			driver.send({kind: 'submitted', submission});
			finishRuns(driver, {ends: 0});
			driver.elapse(minute + 1000);
			const next = takeOver([{submission, progress: describeProgress(jobOf(driver, 1))}], driver.time());
			expect([...jobOf(next, 1).taskNames.keys()]).to.deep.equal([1]);
			expect(startsOf(next.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a')})).map(({task}) => task.split('.')[1])).to.deep.equal(['1', '1', '1']);
		},
	},
	{
		name: 'a run that a worker reports is adopted although the clock of the new scheduler says that it is not due (task that runs twice)',
		run() {
			const submission = scheduledOf(1, 1, {firstRunAt: minute, occurrences: 4});
			const driver = takeOver([{submission, progress: {outcome: 'running', tasks: {}, agents: ['a']}}], minute - 3000);
			const task = formatTaskName({
				job: keyOf(1), occurrence: 2, step: 0, index: 0,
			});
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {running: [reportedRunOf(task, 1)]})});
			expect(jobOf(driver, 1).tasks.get(task)?.run?.run).to.equal(1);
			driver.elapse(2 * minute);
			expect([...jobOf(driver, 1).taskNames.keys()].toSorted((first, second) => first - second)).to.deep.equal([0, 1, 2]);
		},
	},
	{
		name: 'a crash that an agent reports of an occurrence that is not open counts (task that crashes workers without end)',
		run() {
			const submission = scheduledOf(1, 1, {firstRunAt: minute});
			const driver = takeOver([{submission, progress: {outcome: 'running', tasks: {}, agents: ['a']}}], minute - 3000);
			const task = formatTaskName({
				job: keyOf(1), occurrence: 0, step: 0, index: 0,
			});
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {lost: [{task, run: 1}]})});
			expect(jobOf(driver, 1).tasks.get(task)?.crashes).to.deep.equal([{run: 1, hadProgress: false}]);
		},
	},
	{
		name: 'stored jobs beyond the bound are held without their tasks, by rank and age (memory exhausted at every takeover)',
		run() {
			const wide = (number: number, priority: number, submittedAt: number) => ({submission: submissionOf(number, [{count: 9000}], {priority, submittedAt}), progress: undefined});
			const driver = takeOver([...Array.from({length: 20}, (_, index) => wide(index + 1, 2, 100 - index)), wide(21, 0, 500)]);
			expect(countOpenTasks(driver.state())).to.be.at.most(maximumOpenTasks);
			const open = [...driver.state().jobs.values()].filter(({tasks}) => tasks.size > 0).map(({submission: {job}}) => job);
			expect(open).to.have.members([21, 20, 19, 18, 17].map(number => keyOf(number)));
		},
	},
	{
		name: 'they are opened once others have ended (accepted job that never starts)',
		run() {
			const driver = takeOver(Array.from({length: 8}, (_, index) => ({submission: submissionOf(index + 1, [{count: 9000}], {submittedAt: index}), progress: undefined})));
			expect(jobOf(driver, 8).tasks.size).to.equal(0);
			for (let number = 1; number <= 4; number++) {
				driver.send({kind: 'cancelled', job: keyOf(number)});
			}

			driver.elapse(1000);
			expect([5, 6, 7, 8].map(number => jobOf(driver, number).tasks.size)).to.deep.equal([9000, 9000, 9000, 9000]);
			expect(jobOf(driver, 1).tasks.size).to.equal(0);
		},
	},
	{
		name: 'a smaller job passes one that does not fit (all work waits for the widest job)',
		run() {
			const jobs = Array.from({length: 6}, (_, index) => ({submission: submissionOf(index + 1, [{count: 9000}], {submittedAt: index}), progress: undefined}));
			const driver = takeOver([...jobs, {submission: submissionOf(7, [{count: 5}], {submittedAt: 99}), progress: undefined}]);
			expect(jobOf(driver, 6).tasks.size).to.equal(0);
			expect(jobOf(driver, 7).tasks.size).to.equal(5);
		},
	},
	{
		name: 'the log says that jobs wait for memory (job that waits without a reason)',
		run() {
			const driver = takeOver(Array.from({length: 8}, (_, index) => ({submission: submissionOf(index + 1, [{count: 9000}], {submittedAt: index}), progress: undefined})));
			const logged = driver.elapse(5000).flatMap(effect => effect.kind === 'log' && effect.event === 'jobs-wait-for-memory' ? [effect.fields['jobs']] : []);
			expect(logged).to.deep.equal([3, 3]);
		},
	},
	{
		name: 'the tasks of a job that ended are dropped once its end is stored (memory of ended jobs)',
		run() {
			const driver = createReadyDriver([['a']], {isStoring: false});
			driver.send({kind: 'submitted', submission: submissionOf(1, [{count: 500, accelerators: 0, processorMillicores: 1}])});
			driver.send({kind: 'cancelled', job: keyOf(1)});
			driver.elapse(1000);
			expect(countOpenTasks(driver.state())).to.equal(500);
			driver.send({
				kind: 'stored', job: keyOf(1), version: jobOf(driver, 1).version, keyVersion: 1,
			});
			driver.elapse(1000);
			expect(countOpenTasks(driver.state())).to.equal(0);
		},
	},
	{
		name: 'the record of the widest job fits the store (end that is never stored)',
		run() {
			const submission = submissionOf(1, [{count: 10_000}, {count: 10_000}]);
			const done = Object.fromEntries([0, 1].map(step => [`0.${step}`, '0-4999,5001-9999']));
			const driver = takeOver([{
				submission, progress: {
					outcome: 'running', tasks: {}, done, occurrences: {next: 1, open: [0]}, agents: [],
				},
			}]);
			const progress = describeProgress(jobOf(driver, 1));
			expect(progress.done).to.deep.equal(done);
			expect(JSON.stringify(progress).length).to.be.below(maximumValueBytes / 100);
		},
	},
];

describe('occurrences of jobs', () => {
	for (const {name, run} of cases) {
		it(name, run);
	}

	it('stored progress is restored as it was, whichever occurrences are open (task that runs again after a takeover)', () => {
		const size = fastCheck.constantFrom(3, 400);
		const occurrences = fastCheck.integer({min: 1, max: 4});
		const doneTasks = fastCheck.array(fastCheck.record({occurrence: fastCheck.nat(3), index: fastCheck.nat(2)}), {maxLength: 12});
		fastCheck.assert(fastCheck.property(size, occurrences, doneTasks, fastCheck.nat(4), (count, total, doneList, dueMinutes) => {
			const submission = scheduledOf(1, count, {occurrences: total});
			const first = takeOver([{submission, progress: undefined}], dueMinutes * minute);
			for (const [index, done] of doneList.entries()) {
				const task = formatTaskName({job: keyOf(1), step: 0, ...done});
				first.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {capacity: {processorMillicores: 0, memoryMegabytes: 0, accelerators: 0}, ended: [endedRunOf(index + 1, task, 1, 'done')]})});
			}

			const stored = describeProgress(jobOf(first, 1));
			const checked = checkInput(jobProgressSchema, structuredClone(stored), 'progress');
			expect(checked.kind).to.equal('valid');
			const second = takeOver([{submission, progress: checked.kind === 'valid' ? checked.value : undefined}], 0);
			expect(describeProgress(jobOf(second, 1))).to.deep.equal(stored);
		}), {seed: 6, numRuns: 200});
	});

	it('ranges name the indexes that they were made of (task that runs again after a takeover)', () => {
		fastCheck.assert(fastCheck.property(fastCheck.uniqueArray(fastCheck.nat(60)), indexes => {
			const ascending = indexes.toSorted((first, second) => first - second);
			expect(parseRanges(formatRanges(ascending), 61)).to.deep.equal(ascending);
		}), {seed: 6});
	});
});
