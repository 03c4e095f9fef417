/** What beliefs about workers and neighbours change in placements, and what they do not. */
import {expect} from 'chai';
import type {JobStep} from '#jobs';
import {createPaceState, keyOfWorker, type PaceState} from '#pace';
import type {KeepApart} from '#scheduling';
import {
	createReadyDriver, endedRunOf, reportedRunOf, snapshotOf, startsOf, submissionOf, taskOf, type Driver, type WorkerOptions,
} from '#test/support/scheduling';

type Beliefs = Readonly<{speeds?: Readonly<Record<string, number>>; isInterfering?: boolean; until?: number}>;

/** Beliefs about workers of the test deployment, and that image `x` is slowed by image `y`. */
function believe({speeds = {}, isInterfering = false, until = Infinity}: Beliefs): PaceState {
	const belief = {
		kind: 'x', neighbour: 'y', factor: 0.6, observationsWith: 20, observationsWithout: 20, since: 0, until,
	};
	return {
		...createPaceState(),
		workers: new Map(Object.entries(speeds).map(([name, speed]) => {
			const worker = snapshotOf(name);
			return [keyOfWorker(worker), {
				worker, observations: [], speed, until,
			}];
		})),
		interference: isInterfering ? new Map([['x | y', belief]]) : new Map(),
	};
}

type Case = Readonly<{
	name: string;
	workers: ReadonlyArray<readonly [string, WorkerOptions?]>;
	beliefs: Beliefs;
	keepApart?: KeepApart;
	/** Work that runs first; each step takes the worker with its label. */
	earlier?: ReadonlyArray<Partial<JobStep>>;
	step: Partial<JobStep>;
	priority?: number;
	/** How long ago the work was submitted. */
	age?: number;
	agents: readonly string[];
}>;

const two: Case['workers'] = [['a', {labels: ['a']}], ['b', {labels: ['b']}]];
const twoRacks: Case['workers'] = [['a', {rack: 'r-1'}], ['b', {rack: 'r-1'}], ['c', {rack: 'r-2'}], ['d', {rack: 'r-2'}]];
const gang: Partial<JobStep> = {count: 2, accelerators: 8, isGang: true};
const besideA: Partial<JobStep> = {requiredLabel: 'a', image: 'y', estimatedMilliseconds: 60_000};

const cases: readonly Case[] = [
	{
		name: 'a gang takes the rack whose slowest member is fastest (gang at the pace of a slow worker)',
		workers: twoRacks, beliefs: {
			speeds: {
				a: 1.25, b: 0.8, c: 1, d: 1,
			},
		}, step: {...gang, prefersOneRack: true}, agents: ['c', 'd'],
	},
	{
		name: 'a gang takes the workers of the fastest slowest member (gang at the pace of a slow worker)',
		workers: twoRacks, beliefs: {
			speeds: {
				a: 0.8, b: 1.25, c: 1.25, d: 0.8,
			},
		}, step: gang, agents: ['b', 'c'],
	},
	{
		name: 'a tighter fit goes before speed (large free workers broken up)',
		workers: two, beliefs: {speeds: {a: 0.8, b: 1.25}}, earlier: [{...besideA, accelerators: 6}], step: {...gang, accelerators: 1}, agents: ['a', 'a'],
	},
	{
		name: 'work close to its objective takes fast workers (late work on a slow worker beside a fast one)',
		workers: two, beliefs: {speeds: {a: 0.8, b: 1.25}}, earlier: [besideA], step: {}, age: 5000, agents: ['b'],
	},
	{
		name: 'a gang leaves out a slow worker although it fits better (gang five times slower)',
		workers: two, beliefs: {speeds: {a: 0.2}}, earlier: [besideA], step: {...gang, accelerators: 1}, agents: ['b', 'b'],
	},
	{
		name: 'a gang takes a slow worker if no other has room (gang waits for a preference)',
		workers: two, beliefs: {speeds: {a: 0.2}}, step: gang, agents: ['a', 'b'],
	},
	{
		name: 'a belief that ended changes nothing (placement by an old belief)',
		workers: two, beliefs: {speeds: {a: 0.2}, isInterfering: true, until: 0}, earlier: [besideA], step: {image: 'x'}, agents: ['a'],
	},
	{
		name: 'another incarnation of a worker has no belief (placement by the speed of an earlier machine)',
		workers: [['a', {labels: ['a'], incarnation: '2'}], ['b', {labels: ['b']}]], beliefs: {speeds: {a: 0.2}}, earlier: [besideA], step: {}, agents: ['a'],
	},
	{
		name: 'tasks are kept apart from those that slow them down (slowed beside an idle worker)',
		workers: two, beliefs: {isInterfering: true}, earlier: [besideA], step: {image: 'x'}, agents: ['b'],
	},
	{
		name: 'tasks are kept apart from those that they slow down (slow others beside an idle worker)',
		workers: two, beliefs: {isInterfering: true}, earlier: [{...besideA, image: 'x'}], step: {image: 'y'}, agents: ['b'],
	},
	{
		name: 'tasks of another image are placed as before (placements changed for nothing)',
		workers: two, beliefs: {isInterfering: true}, earlier: [besideA], step: {image: 'z'}, agents: ['a'],
	},
	{
		name: 'keep-apart off places as before (operator cannot switch the preference off)',
		workers: two, beliefs: {isInterfering: true}, keepApart: 'off', earlier: [besideA], step: {image: 'x'}, agents: ['a'],
	},
	{
		name: 'tasks start beside those that slow them down if no other worker has room (work waits for a preference)',
		workers: two, beliefs: {isInterfering: true}, earlier: [besideA, {...besideA, requiredLabel: 'b', accelerators: 8}], step: {image: 'x'}, agents: ['a'],
	},
	{
		name: 'a part that has no room elsewhere starts beside them (step waits for a preference)',
		workers: two, beliefs: {isInterfering: true}, earlier: [besideA, {
			...besideA, requiredLabel: 'b', accelerators: 7, image: 'z',
		}], step: {image: 'x', count: 2}, agents: ['a', 'b'],
	},
	{
		name: 'work within a guarantee starts at once beside those that slow it down (guarantee late for a preference)',
		workers: two, beliefs: {isInterfering: true}, earlier: [besideA, {...besideA, requiredLabel: 'b'}], step: {...gang, accelerators: 7, image: 'x'}, priority: 0, agents: ['a', 'b'],
	},
	{
		name: 'a gang stays in one rack beside those that slow it down (three times slower in two racks)',
		workers: [['a', {rack: 'r-1', labels: ['a']}], ['b', {rack: 'r-1', labels: ['b']}], ['c', {rack: 'r-2', labels: ['c']}]],
		beliefs: {isInterfering: true}, earlier: [besideA], step: {
			...gang, accelerators: 7, prefersOneRack: true, image: 'x',
		}, agents: ['a', 'b'],
	},
	{
		name: 'tasks go to the rack of their data beside those that slow them down (three times slower elsewhere)',
		workers: [['a', {labels: ['a']}], ['b', {labels: ['b'], rack: 'r-2'}]], beliefs: {isInterfering: true}, earlier: [besideA], step: {image: 'x', dataRack: 'r-1'}, agents: ['a'],
	},
];

function start(driver: Driver, number: number, step: Partial<JobStep>, options: Parameters<typeof submissionOf>[2] = {}): ReturnType<typeof startsOf> {
	const starts = startsOf(driver.send({kind: 'submitted', submission: submissionOf(number, [step], options)}));
	for (const {agent, task, run} of starts) {
		driver.send({kind: 'start-answered', agent, answers: [{task, run, result: 'started'}]});
	}

	return starts;
}

describe('placement by speeds and neighbours', () => {
	for (const {
		name, workers, beliefs, keepApart = 'on', earlier = [], step, priority = 2, age = 0, agents,
	} of cases) {
		it(name, () => {
			const driver = createReadyDriver(workers, {keepApart, beliefs: believe(beliefs), start: 10_000});
			for (const [index, first] of earlier.entries()) {
				expect(start(driver, index + 1, first, {submittedAt: driver.time()})).to.have.length(1);
			}

			const starts = start(driver, earlier.length + 1, step, {priority, submittedAt: driver.time() - age});
			expect(starts.map(({agent}) => agent).toSorted()).to.deep.equal(agents);
		});
	}
});

describe('units of one pass', () => {
	it('are kept apart from each other (beside each other because both are new)', () => {
		const driver = createReadyDriver(two, {beliefs: believe({isInterfering: true}), start: 10_000});
		const starts = startsOf(driver.send({kind: 'submitted', submission: submissionOf(1, [{image: 'y'}, {image: 'x'}], {submittedAt: driver.time()})}));
		expect(starts.map(({agent}) => agent).toSorted()).to.deep.equal(['a', 'b']);
	});
});

type SampleCase = Readonly<{name: string; step: Partial<JobStep>; ending?: 'done' | 'failed'; expected: ReadonlyArray<Readonly<Record<string, unknown>>>}>;

const sampleCases: readonly SampleCase[] = [
	{name: 'a task is of the kind of its image', step: {image: 'x'}, expected: [{kind: 'x', percent: 100, isEnded: true}]},
	{name: 'a task without an image is of the kind of its queue and shape', step: {}, expected: [{kind: 'queue-2/1000/100/1'}]},
	{name: 'runs near their data are compared with each other (another rack taken for interference)', step: {dataRack: 'r-1'}, expected: [{group: '0000000000000001 0 0 true'}]},
	{name: 'runs away from their data are compared with each other (another rack taken for interference)', step: {dataRack: 'r-9'}, expected: [{group: '0000000000000001 0 0 false'}]},
	{
		name: 'a run that failed tells no pace (belief from broken work)', step: {}, ending: 'failed', expected: [],
	},
	{name: 'a member of a gang tells no pace (gang at the pace of its slowest member)', step: {isGang: true}, expected: []},
	{name: 'a run of a narrow step tells no pace (nothing to compare with)', step: {count: 4}, expected: []},
];

describe('runs that tell a pace', () => {
	for (const {name, step, ending = 'done', expected} of sampleCases) {
		it(name, () => {
			const driver = createReadyDriver([['a']]);
			start(driver, 1, {count: 5, ...step});
			if (driver.state().jobs.first()?.counts.running === 0) {
				driver.elapse(6000);
			}

			const running = Array.from({length: step.count ?? 5}, (_, index) => reportedRunOf(taskOf(1, index), 1, 50));
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {running})});
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {running: running.slice(1), ended: [endedRunOf(1, taskOf(1), 1, ending)]})});
			const {ended} = driver.state().pace;
			expect(ended).to.have.length(expected.length);
			for (const [index, fields] of expected.entries()) {
				expect(ended[index]).to.include(fields);
			}
		});
	}
});
