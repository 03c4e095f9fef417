/** Number of pending jobs: those of which no task has begun on a worker. */
import {expect} from 'chai';
import {countPending} from '#scheduling';
import type {JobProgress} from '#jobs';
import {
	configuration, createDriver, createReadyDriver, endedRunOf, reportedRunOf, snapshotOf, submissionOf, taskOf, type Driver,
} from '#test/support/scheduling';

type Case = Readonly<{name: string; pending: number; act?(driver: Driver): void}>;

const refuse = (driver: Driver) => {
	driver.send({kind: 'start-answered', agent: 'a', answers: [{task: taskOf(1), run: 1, result: 'unhealthy'}]});
};

const cases: readonly Case[] = [
	{
		name: 'a start that was ordered leaves the job pending (job shown as begun before a worker has it)', pending: 1,
	},
	{
		name: 'a refused start leaves the job pending (job left out for as long as it waits)', act: refuse, pending: 1,
	},
	{
		name: 'a start without an answer leaves the job pending (job shown as begun although no worker has it)',
		act(driver) {
			driver.send({kind: 'start-answered', agent: 'a', answers: [{task: taskOf(1), run: 1, result: 'unknown'}]});
			driver.elapse(2000);
		},
		pending: 1,
	},
	{
		name: 'a confirmed start begins the job (job pending although it runs)',
		act(driver) {
			driver.send({kind: 'start-answered', agent: 'a', answers: [{task: taskOf(1), run: 1, result: 'started'}]});
		},
		pending: 0,
	},
	{
		name: 'a listed run begins the job (answer to the start lost)',
		act(driver) {
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {running: [reportedRunOf(taskOf(1), 1)]})});
		},
		pending: 0,
	},
	{
		name: 'a listed end begins the job (run too short to be listed as running)',
		act(driver) {
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {ended: [endedRunOf(1, taskOf(1), 1, 'stopped')]})});
		},
		pending: 0,
	},
	{
		name: 'a job that has begun stays so while it waits for its next start (job pending twice)',
		act(driver) {
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {ended: [endedRunOf(1, taskOf(1), 1, 'failed')]})});
			driver.send({kind: 'start-answered', agent: 'a', answers: [{task: taskOf(1), run: 2, result: 'unhealthy'}]});
		},
		pending: 0,
	},
];

type LoadedCase = Readonly<{name: string; progress: JobProgress; pending: number}>;

const loadedCases: readonly LoadedCase[] = [
	{name: 'a job of which only the order of a start is stored is pending (refused start before a takeover)', progress: {outcome: 'running', tasks: {}, agents: []}, pending: 1},
	{name: 'a job with a failed run has begun (job pending again after a takeover)', progress: {outcome: 'running', tasks: {'0.0.0': {failedRuns: [1]}}, agents: []}, pending: 0},
	{name: 'a job with a checkpoint has begun (job pending again after a takeover)', progress: {outcome: 'running', tasks: {'0.0.0': {checkpoint: 'c'}}, agents: []}, pending: 0},
];

const countAll = (driver: Driver) => [...countPending(driver.state()).values()].reduce((total, count) => total + count, 0);

describe('number of pending jobs', () => {
	for (const {name, act, pending} of cases) {
		it(name, () => {
			const driver = createReadyDriver([['a']]);
			driver.send({kind: 'submitted', submission: submissionOf(1, [{}])});
			act?.(driver);
			expect(countAll(driver)).to.equal(pending);
		});
	}

	for (const {name, progress, pending} of loadedCases) {
		it(name, () => {
			const driver = createDriver({epoch: 2});
			driver.send({kind: 'configured', configuration});
			driver.send({
				kind: 'loaded', workers: [], jobs: [{
					submission: submissionOf(1, [{}]), isCancelled: false, progress, keyVersion: 5,
				}],
			});
			expect(countAll(driver)).to.equal(pending);
		});
	}
});
