/** Decisions that avoid lost work: last attempts, and workers that come and go. */
import {expect} from 'chai';
import {departureMemoryMilliseconds, rememberedDepartures} from '#scheduling';
import {
	configuration, createReadyDriver, endedRunOf, keyOf, queueOf, reportedRunOf, snapshotOf, startsOf, submissionOf, taskOf, type Driver,
} from '#test/support/scheduling';

type Case = Readonly<{name: string; run(): void}>;

/** Room for two of the tasks. */
const small = {processorMillicores: 128_000, memoryMegabytes: 262_144, accelerators: 4};

const ends = [endedRunOf(1, taskOf(1, 0), 1, 'failed'), endedRunOf(2, taskOf(1, 0), 2, 'failed'), endedRunOf(3, taskOf(1, 1), 1, 'done')];

/** Runs two of four tasks on worker `a`, of which the first then fails twice of three attempts. Its worker is the only one, unless others are added. */
function failTwice(driver: Driver, options: Parameters<typeof submissionOf>[2] = {}, beforeLast: () => unknown = () => undefined) {
	driver.send({kind: 'configured', configuration: {...configuration, version: 2, queues: [queueOf(0), queueOf(2)]}});
	driver.send({kind: 'submitted', submission: submissionOf(1, [{count: 4, accelerators: 2}], options)});
	const report = (count: number) => listTasks(driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {capacity: small, running: [reportedRunOf(taskOf(1, 1), 1)], ended: ends.slice(0, count)})}));
	expect(report(1), 'second attempt').to.deep.equal([taskOf(1, 0)]);
	beforeLast();
	return report(2);
}

/** Ends the second task, which leaves room for another. */
function completeSecond(driver: Driver) {
	const running = driver.state().jobs.get(keyOf(1))?.tasks.get(taskOf(1, 0))?.run === undefined ? [] : [reportedRunOf(taskOf(1, 0), 3)];
	return listTasks(driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {capacity: small, running, ended: ends})}));
}

const listTasks = (effects: Parameters<typeof startsOf>[0]) => startsOf(effects).map(({task}) => task);

const lastAttemptCases: readonly Case[] = [
	{
		name: 'the other tasks wait while a last attempt is open (job that fails for good goes on)',
		run() {
			const driver = createReadyDriver([['a', {capacity: small}]]);
			expect(failTwice(driver)).to.deep.equal([taskOf(1, 0)]);
			expect(completeSecond(driver)).to.deep.equal([]);
		},
	},
	{
		name: 'the other tasks start once the last attempt is done (job waits for ever)',
		run() {
			const driver = createReadyDriver([['a', {capacity: small}]]);
			failTwice(driver);
			completeSecond(driver);
			expect(listTasks(driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {capacity: small, ended: [...ends, endedRunOf(4, taskOf(1, 0), 3, 'done')]})}))).to.deep.equal([taskOf(1, 2), taskOf(1, 3)]);
		},
	},
	{
		name: 'the other tasks wait no longer than a task takes (job held up by a task that lasts)',
		run() {
			const driver = createReadyDriver([['a', {capacity: small}]]);
			failTwice(driver);
			completeSecond(driver);
			const report = (percent: number) => listTasks([
				...driver.elapse(500), ...driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {capacity: small, running: [reportedRunOf(taskOf(1, 0), 3, percent)], ended: ends})}),
			]);
			expect(Array.from({length: 9}, (_, index) => report(index)).flat()).to.deep.equal([]);
			expect(Array.from({length: 2}, (_, index) => report(index + 10)).flat()).to.deep.equal([taskOf(1, 2)]);
		},
	},
	{
		name: 'other tasks start if nothing of the job runs and the last attempt has no room (nothing runs although there is room)',
		run() {
			const driver = createReadyDriver([['a', {capacity: small}]]);
			const addFullWorker = () => driver.send({kind: 'renewed', agent: 'b', snapshot: snapshotOf('b', {capacity: {...small, accelerators: 0}})});
			expect(failTwice(driver, {}, addFullWorker), 'the task avoids its worker').to.deep.equal([]);
			expect(completeSecond(driver)).to.deep.equal([taskOf(1, 2), taskOf(1, 3)]);
		},
	},
	{
		name: 'work within a guarantee is not held back (guarantee not met)',
		run() {
			const driver = createReadyDriver([['a', {capacity: small}]]);
			failTwice(driver, {priority: 0});
			expect(completeSecond(driver)).to.deep.equal([taskOf(1, 2)]);
		},
	},
];

function leave(driver: Driver, agent: string) {
	driver.send({
		kind: 'incarnation-ended', agent, worker: snapshotOf(agent).worker, incarnation: '1', ending: 'left', ended: [],
	});
}

function placeStep(driver: Driver, step: Parameters<typeof submissionOf>[1][number]) {
	const submission = submissionOf(1, [step], {submittedAt: driver.time()});
	return [...new Set(startsOf(driver.send({kind: 'submitted', submission})).map(({agent}) => agent))];
}

type PlacementCase = Readonly<{
	name: string;
	step: Parameters<typeof submissionOf>[1][number];
	/** Workers on which the step is placed. */
	placed: readonly string[];
	/** What happens before it arrives. */
	act(driver: Driver): void;
}>;

/** Worker `a` has the tighter fit. */
const capacity = {processorMillicores: 128_000, memoryMegabytes: 262_144, accelerators: 7};

const replace = (driver: Driver) => {
	driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {capacity, incarnation: '2'})});
};

const flap = (driver: Driver) => {
	leave(driver, 'a');
	replace(driver);
};

const gang = {count: 2, accelerators: 3, isGang: true} as const;

const placementCases: readonly PlacementCase[] = [
	{
		name: 'a gang takes the tightest fit if no worker came or went (placement changed without need)', step: gang, placed: ['a'], act() {/* Nothing happens. */},
	},
	{
		name: 'a gang avoids a worker that left and came back (gang lost as a whole with it)', step: gang, placed: ['b'], act: flap,
	},
	{
		name: 'a gang avoids a worker that was replaced (loss by another incarnation)', step: gang, placed: ['b'], act: replace,
	},
	{
		name: 'a gang avoids a worker that announced that it leaves and stayed (loss by a departure put off)', step: gang, placed: ['b'],
		act(driver) {
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {capacity, state: 'draining', leavesInMilliseconds: 2000})});
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {capacity})});
		},
	},
	{
		name: 'a task that cannot save its progress avoids such a worker (task lost with it)', step: {accelerators: 6}, placed: ['b'], act: flap,
	},
	{
		name: 'a gang uses such a worker if others have no room (gang waits although there is room)', step: {...gang, accelerators: 7}, placed: ['a', 'b'], act: flap,
	},
	{
		name: 'work that saves its progress takes the tightest fit (room for wide work broken up)', step: {accelerators: 6, isCheckpointing: true}, placed: ['a'], act: flap,
	},
	{
		name: 'a worker is trusted again after a while (worker left idle for ever)', step: gang, placed: ['a'],
		act(driver) {
			flap(driver);
			for (let elapsed = 0; elapsed <= departureMemoryMilliseconds; elapsed += 1000) {
				driver.elapse(1000);
				replace(driver);
				driver.send({kind: 'renewed', agent: 'b', snapshot: snapshotOf('b')});
			}
		},
	},
];

describe('decisions that avoid lost work', () => {
	for (const {name, run} of lastAttemptCases) {
		it(name, run);
	}

	for (const {name, step, placed, act} of placementCases) {
		it(name, () => {
			const driver = createReadyDriver([['a', {capacity}], ['b']]);
			act(driver);
			expect(placeStep(driver, step)).to.have.members(placed);
		});
	}

	it('the memory of departures is bounded (memory grows with each worker that leaves)', () => {
		const driver = createReadyDriver([]);
		for (let index = 0; index <= rememberedDepartures; index++) {
			driver.send({kind: 'renewed', agent: `agent-${index}`, snapshot: snapshotOf(`agent-${index}`)});
			leave(driver, `agent-${index}`);
		}

		expect(driver.state().departures.size).to.equal(rememberedDepartures);
	});
});
