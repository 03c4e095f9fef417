import {expect} from 'chai';
import {
	explainPlacement, findFreeKey, type PassedOver, type PlacementExplanation,
} from '#scheduling';
import {
	createReadyDriver, startsOf, stopsOf, submissionOf, taskOf, type Driver, type WorkerOptions,
} from '#test/support/scheduling';
import {closedZonesOf} from '#test/support/zones';

type Steps = Parameters<typeof submissionOf>[1];
type Options = Parameters<typeof submissionOf>[2];
type Expected = Readonly<{starts: Readonly<Record<string, number>>; wait: string; passedOver: Readonly<Record<string, number>>}>;
type Case = Readonly<{
	name: string;
	workers: ReadonlyArray<readonly [string, WorkerOptions?]>;
	steps: Steps;
	options?: Options;
	expected: readonly Expected[];
	prepare?(driver: Driver): void;
}>;

const full = {accelerators: 8};
const job = 9;

/** Fills workers with running single tasks of the lowest rank. */
const fill = (count: number) => (driver: Driver) => {
	const started = driver.send({
		kind: 'submitted', submission: submissionOf(1, [{
			...full, count, maximumPerWorker: 1, estimatedMilliseconds: 60_000,
		}]),
	});
	for (const {agent, task, run} of startsOf(started)) {
		driver.send({kind: 'start-answered', agent, answers: [{task, run, result: 'started'}]});
	}
};

const cases: readonly Case[] = [
	{
		name: 'names the workers that a submission gets, and why others are passed over (explanation that differs from the decision)',
		workers: [['a'], ['b', {labels: []}], ['c', {service: 'other' as never}], ['d', {state: 'draining'}], ['e', {isResponsive: false}]],
		steps: [{requiredLabel: 'a', count: 2}],
		expected: [{
			starts: {'w-a': 2}, wait: 'none', passedOver: {
				'other-service': 1, 'missing-label': 1, 'not-responsive': 1, draining: 1,
			},
		}],
	},
	{
		name: 'a closed zone is told from missing room (operator who looks for room while the zone is closed)',
		workers: [['a', {zone: 'z1'}], ['b', {zone: 'z2'}]],
		prepare(driver) {
			driver.send({kind: 'zones-observed', zones: closedZonesOf(1, 'z1')});
		},
		steps: [{...full, count: 2, isGang: true}],
		expected: [{starts: {}, wait: 'zone-closed', passedOver: {'closed-zone': 1, 'less-suitable': 1}}],
	},
	{
		name: 'runs of the same rank leave no room (reason that names another cause)',
		workers: [['a'], ['b']],
		prepare: fill(2),
		steps: [full],
		expected: [{starts: {}, wait: 'no-room', passedOver: {'no-room': 2}}],
	},
	{
		name: 'the runs that would be stopped are named and stay (explanation that stops work)',
		workers: [['a']],
		prepare: fill(1),
		steps: [full],
		options: {priority: 0},
		expected: [{starts: {}, wait: 'stops-runs', passedOver: {'no-room': 1}}],
	},
	{
		name: 'the limit per worker is the reason for the tasks that are left (count that looks like missing room)',
		workers: [['a']],
		steps: [{count: 3, maximumPerWorker: 1}],
		expected: [{starts: {'w-a': 1}, wait: 'no-room', passedOver: {'limit-per-worker': 1}}],
	},
	{
		name: 'steps of one job do not get the same room, and later steps are not shown (room counted twice)',
		workers: [['a']],
		steps: [full, full, {after: [0, 1]}],
		expected: [{starts: {'w-a': 1}, wait: 'none', passedOver: {}}, {starts: {}, wait: 'no-room', passedOver: {reserved: 1}}],
	},
	{
		name: 'a job that no worker could run (wait without a reason)',
		workers: [],
		steps: [{}],
		expected: [{starts: {}, wait: 'no-worker', passedOver: {}}],
	},
];

const countByReason = (passedOver: readonly PassedOver[]) => Object.fromEntries(passedOver.map(({reason, workers}) => [reason, workers]));

function describeSteps({listed}: PlacementExplanation): readonly Expected[] {
	return listed.map(({starts, wait, passedOver}) => ({
		starts: Object.fromEntries(starts.map(({worker, tasks}) => [worker, tasks])), wait: wait.kind === 'waits' ? wait.reason : wait.kind, passedOver: countByReason(passedOver),
	}));
}

describe('explained placements', () => {
	for (const {name, workers, prepare, steps, options, expected} of cases) {
		it(name, () => {
			const driver = createReadyDriver(workers);
			prepare?.(driver);
			const state = driver.state();
			const before = JSON.stringify(state);
			const submission = submissionOf(job, steps, {submittedAt: driver.time(), ...options});
			const explained = explainPlacement(state, submission, {now: driver.time(), monotonic: driver.time()});
			const described = describeSteps(explained);
			expect(described).to.deep.equal(expected);
			expect(driver.state(), 'state').to.equal(state);
			expect(JSON.stringify(driver.state()), 'content of the state').to.equal(before);

			// The same job is submitted: it starts where the explanation says, and stops what it names.
			const effects = driver.send({kind: 'submitted', submission});
			const counts: Record<string, number> = {};
			for (const {agent, task} of startsOf(effects)) {
				if (task.startsWith(submission.job)) {
					counts[`w-${agent}`] = (counts[`w-${agent}`] ?? 0) + 1;
				}
			}

			const named: Record<string, number> = {};
			for (const {starts} of explained.listed) {
				for (const {worker, tasks} of starts) {
					named[worker] = (named[worker] ?? 0) + tasks;
				}
			}

			expect(counts, 'starts').to.deep.equal(named);
			expect(stopsOf(effects), 'stops').to.deep.equal(explained.listed.flatMap(({wait}) => wait.kind === 'stops-runs' ? wait.examples : []));
		});
	}

	it('many workers are counted, and 20 of them named (answer that grows with the pool)', () => {
		const driver = createReadyDriver(Array.from({length: 30}, (_, index) => [`n${index}`, {labels: []}] as const));
		const {listed, snapshot} = explainPlacement(driver.state(), submissionOf(job, [{requiredLabel: 'a'}]), {now: 400, monotonic: 400});
		expect(listed[0]?.passedOver.map(({reason, workers, examples}) => [reason, workers, examples.length])).to.deep.equal([['missing-label', 30, 20]]);
		expect(snapshot).to.deep.equal({
			configurationVersion: 1, zonesRevision: 0, workers: 30, oldestReportMilliseconds: 400, newestReportMilliseconds: 400,
		});
	});

	it('an identifier that a job has is not used (explained job that replaces one)', () => {
		const driver = createReadyDriver([['a']]);
		driver.send({kind: 'submitted', submission: submissionOf(0, [{}])});
		expect(findFreeKey(driver.state())).to.equal(taskOf(1).split('.', 1)[0]);
	});
});
