/** The load that forecasts are made from. */
import {expect} from 'chai';
import {describeLoad, observeStarts} from '#scheduling';
import type {LoadSnapshot} from '#forecast';
import {
	configuration, createDriver, createReadyDriver, keyOf, oneStep, reportedRunOf, snapshotOf, submissionOf, taskOf, tenant, type Driver,
} from '#test/support/scheduling';

const wholeWorker = {...oneStep, accelerators: 8};
const submit = (driver: Driver, number: number, ...options: Parameters<typeof submissionOf> extends [number, ...infer Rest] ? Rest : never) => {
	driver.send({kind: 'submitted', submission: submissionOf(number, ...options)});
};

/** A scheduler with one worker that the first job fills. */
function createBusyDriver(): Driver {
	const driver = createReadyDriver([['a']]);
	submit(driver, 1, [wholeWorker]);
	return driver;
}

type Case = Readonly<{name: string; prepare(): Driver; verify(load: LoadSnapshot | undefined): void}>;

const cases: readonly Case[] = [
	{
		name: 'nothing is said before the stored jobs are read (jobs accepted by half of the load)',
		prepare: () => createDriver(),
		verify(load) {
			expect(load).to.equal(undefined);
		},
	},
	{
		name: 'nor while workers of an earlier scheduler have not reported (callers refused after each takeover)',
		prepare() {
			const driver = createDriver();
			driver.send({kind: 'configured', configuration});
			driver.send({kind: 'loaded', jobs: [], workers: [{agent: 'a', worker: snapshotOf('a').worker}]});
			return driver;
		},
		verify(load) {
			expect(load).to.equal(undefined);
		},
	},
	{
		name: 'nor in an outage of the store (callers refused by a scheduler that may be replaced)',
		prepare() {
			const driver = createBusyDriver();
			driver.send({kind: 'lease-confirmed', until: 1000});
			driver.elapse(1000);
			return driver;
		},
		verify(load) {
			expect(load).to.equal(undefined);
		},
	},
	{
		name: 'running work counts with its remaining time by pace, waiting work by the estimate (estimates that runs have disproved)',
		prepare() {
			const driver = createBusyDriver();
			submit(driver, 2, [{...wholeWorker, count: 3}]);
			driver.elapse(1000);
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {running: [reportedRunOf(taskOf(1), 1, 50)]})});
			return driver;
		},
		verify(load) {
			expect(load?.running.map(({remaining, room}) => [remaining, room.accelerators])).to.deep.equal([[1000, 8]]);
			expect(load?.waiting.map(({team, urgency, work}) => [team, urgency, work])).to.deep.equal([[tenant, 'on-time', {acceleratorMilliseconds: 120_000, coreMilliseconds: 15_000}]]);
		},
	},
	{
		name: 'a run without progress counts by the estimate (zero pace taken for work without an end)',
		prepare() {
			const driver = createBusyDriver();
			driver.elapse(1000);
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {running: [reportedRunOf(taskOf(1), 1, 0)]})});
			driver.elapse(1000);
			return driver;
		},
		verify(load) {
			expect(load?.running.map(({remaining}) => remaining)).to.deep.equal([3000]);
		},
	},
	{
		name: 'work without an end and work for absent labels are no backlog (callers refused for ever)',
		prepare() {
			const driver = createBusyDriver();
			submit(driver, 2, [{...wholeWorker, isLongRunning: true}]);
			submit(driver, 3, [{...wholeWorker, requiredLabel: 'absent'}]);
			return driver;
		},
		verify(load) {
			expect(load?.waiting).to.deep.equal([]);
		},
	},
	{
		name: 'steps that are done are no backlog (job that counts twice)',
		prepare() {
			const driver = createBusyDriver();
			submit(driver, 2, [{...wholeWorker, count: 2}, {...wholeWorker, count: 3, after: [0]}]);
			return driver;
		},
		verify(load) {
			expect(load?.waiting.map(({work}) => work.acceleratorMilliseconds / 40_000)).to.deep.equal([2, 3]);
		},
	},
	{
		name: 'a guarantee counts as taken by the jobs that hold it (guarantee given away twice)',
		prepare() {
			const driver = createReadyDriver([['a'], ['b']]);
			submit(driver, 1, [{...oneStep, count: 6}], {priority: 0});
			return driver;
		},
		verify(load) {
			expect(load?.teams).to.deep.equal([{team: tenant, accelerators: 8, used: 6}]);
		},
	},
	{
		name: 'and as free once they are about to end (job within its guarantee refused)',
		prepare() {
			const driver = createReadyDriver([['a'], ['b']]);
			submit(driver, 1, [{...oneStep, count: 6}], {priority: 0});
			driver.elapse(2500);
			return driver;
		},
		verify(load) {
			expect(load?.teams).to.deep.equal([{team: tenant, accelerators: 8, used: 0}]);
		},
	},
	{
		name: 'a worker that drains has no room, and one that is silent returns (callers refused during a short interruption)',
		prepare: () => createReadyDriver([['a', {state: 'draining'}], ['b', {isResponsive: false}]]),
		verify(load) {
			expect(load?.workers.map(({isUsable, isStaying}) => [isUsable, isStaying])).to.deep.equal([[false, false], [false, true]]);
		},
	},
];

describe('load of the scheduler', () => {
	for (const {name, prepare, verify} of cases) {
		it(name, () => {
			const driver = prepare();
			verify(describeLoad(driver.state(), {now: driver.time(), monotonic: driver.time()}));
		});
	}

	it('a first start is observed once, with the times of its arrival and order (estimates compared with later runs)', () => {
		const driver = createBusyDriver();
		const {jobs} = driver.state();
		driver.elapse(500);
		submit(driver, 2, [wholeWorker]);
		const [arrived] = observeStarts(driver.state(), jobs, [], driver.time());
		expect(arrived).to.include({isNew: true, arrivedAt: 500, startedAt: undefined});
		driver.send({kind: 'cancelled', job: keyOf(1)});
		driver.send({
			kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {
				ended: [{
					number: 1, task: taskOf(1), run: 1, ending: 'stopped', checkpoint: '',
				}],
			}),
		});
		driver.send({kind: 'start-answered', agent: 'a', answers: [{task: taskOf(2), run: 1, result: 'started'}]});
		const [started, ...others] = observeStarts(driver.state(), driver.state().jobs, [keyOf(2), keyOf(9)], driver.time() + 100);
		expect(started).to.include({isNew: false, startedAt: 500});
		expect(others).to.deep.equal([]);
	});
});
