import {expect} from 'chai';
import {createCluster, type Cluster} from '#test/support/gangs/cluster';
import {noFaults} from '#test/support/gangs/network';
import {
	createWork, gangOf, jobIdOf, planOf,
} from '#test/support/gangs/work';

const second = 1000;

type Case = Readonly<{
	name: string;
	workers: number;
	entries: number;
	expected: Readonly<Record<number, string>>;
	run(cluster: Cluster): void;
	check?(cluster: Cluster): void;
}>;

const cases: readonly Case[] = [
	{
		name: 'a gang over two workers runs as a whole and returns the result of every member',
		workers: 2, entries: 1,
		run(cluster) {
			cluster.submit(createWork(1, {gang: gangOf(4)}));
			cluster.clock.advance(3 * second);
		},
		expected: {1: 'finished'},
		check(cluster) {
			const {state} = cluster.recordOf(jobIdOf(1));
			expect(state.kind === 'finished' ? state.results.map(({member}) => member) : []).to.deep.equal([0, 1, 2, 3]);
		},
	},
	{
		name: 'two gangs that could each reserve half of the accelerators both finish (deadlock of partial reservations)',
		workers: 2, entries: 2,
		run(cluster) {
			const gang = gangOf(4);
			cluster.submit(createWork(1, {gang}), 1);
			cluster.submit(createWork(2, {gang}), 2);
			cluster.clock.advance(30 * second);
		},
		expected: {1: 'finished', 2: 'finished'},
	},
	{
		name: 'another entry adopts the job when its owner dies between reserve and commit',
		workers: 2, entries: 2,
		run(cluster) {
			cluster.submit(createWork(1, {idempotent: false}));
			cluster.clock.advance(15);
			cluster.killEntry(1);
			cluster.clock.advance(40 * second);
		},
		expected: {1: 'finished'},
	},
	{
		name: 'another entry adopts the job when its owner dies between commit and start',
		workers: 2, entries: 2,
		run(cluster) {
			cluster.submit(createWork(1, {idempotent: false, gang: gangOf(4)}));
			while (cluster.stateOf(jobIdOf(1)) !== 'running') {
				cluster.clock.advance(1);
			}

			cluster.killEntry(1);
			cluster.clock.advance(40 * second);
		},
		expected: {1: 'finished'},
	},
	{
		name: 'a running gang whose owner dies continues under the next owner, and no member starts twice',
		workers: 2, entries: 2,
		run(cluster) {
			cluster.submit(createWork(1, {idempotent: false, payload: {milliseconds: 60 * second}}));
			cluster.clock.advance(5 * second);
			cluster.killEntry(1);
			cluster.clock.advance(80 * second);
		},
		expected: {1: 'finished'},
	},
	{
		name: 'an agent paused past its lease stops its members, and the job is placed again',
		workers: 3, entries: 1,
		run(cluster) {
			cluster.submit(createWork(1, {payload: {milliseconds: 20 * second}, gang: gangOf(4)}));
			cluster.clock.advance(2 * second);
			cluster.pauseAgent(1, 30 * second);
			cluster.clock.advance(100 * second);
		},
		expected: {1: 'finished'},
	},
	{
		name: 'a non-idempotent job whose agent restarted ends as unknown and is never started again',
		workers: 2, entries: 1,
		run(cluster) {
			cluster.submit(createWork(1, {idempotent: false, payload: {milliseconds: 20 * second}, gang: gangOf(4)}));
			cluster.clock.advance(2 * second);
			cluster.restartAgent(1);
			cluster.clock.advance(60 * second);
		},
		expected: {1: 'unknown'},
	},
	{
		name: 'a failed member stops the whole gang and fails the job',
		workers: 2, entries: 1,
		run(cluster) {
			cluster.submit(createWork(1, {payload: {milliseconds: 2 * second, fails: true}}));
			cluster.clock.advance(5 * second);
		},
		expected: {1: 'failed'},
		check(cluster) {
			expect(cluster.running()).to.deep.equal([]);
		},
	},
	{
		name: 'members that finish at different times are not treated as lapsed when all messages about their ends are lost',
		workers: 2, entries: 1,
		run(cluster) {
			cluster.submit(createWork(1, {idempotent: false, gang: gangOf(4), payload: {milliseconds: 20 * second}}));
			cluster.clock.advance(second);
			// The members on the first worker end early; their owner learns of it only by querying the agent.
			cluster.finishEarly(1);
			cluster.silenceEnds(true);
			cluster.clock.advance(10 * second);
			cluster.silenceEnds(false);
			cluster.clock.advance(20 * second);
		},
		expected: {1: 'finished'},
	},
	{
		name: 'a waiting job that is cancelled has not started',
		workers: 1, entries: 1,
		run(cluster) {
			cluster.submit(createWork(1, {payload: {milliseconds: 60 * second}}));
			cluster.clock.advance(second);
			cluster.submit(createWork(2));
			cluster.clock.advance(second);
			cluster.cancel(jobIdOf(2));
			cluster.clock.advance(second);
		},
		expected: {1: 'running', 2: 'cancelled'},
		check(cluster) {
			expect(cluster.recordOf(jobIdOf(2)).hasStarted).to.equal(false);
		},
	},
	{
		name: 'cancelling all jobs at once stops every running gang',
		workers: 4, entries: 1,
		run(cluster) {
			for (const number of [1, 2, 3, 4]) {
				cluster.submit(createWork(number, {payload: {milliseconds: 60 * second}}));
			}

			cluster.clock.advance(10 * second);
			for (const number of [1, 2, 3, 4]) {
				cluster.cancel(jobIdOf(number));
			}

			cluster.clock.advance(2 * second);
		},
		expected: {
			1: 'cancelled', 2: 'cancelled', 3: 'cancelled', 4: 'cancelled',
		},
		check(cluster) {
			expect(cluster.running()).to.deep.equal([]);
		},
	},
	{
		name: 'a job continues when the answers to writes of its record are lost',
		workers: 2, entries: 1,
		run(cluster) {
			cluster.setFaults({...noFaults, lostWriteAnswers: 0.7});
			cluster.submit(createWork(1, {idempotent: false}));
			cluster.clock.advance(60 * second);
		},
		expected: {1: 'finished'},
	},
	{
		name: 'an owner paused past its lease does not drive a job that another entry has adopted',
		workers: 2, entries: 3,
		run(cluster) {
			cluster.submit(createWork(1, {idempotent: false, payload: {milliseconds: 40 * second}}));
			cluster.clock.advance(3 * second);
			cluster.pauseEntry(1, 25 * second);
			cluster.clock.advance(60 * second);
		},
		expected: {1: 'finished'},
		check(cluster) {
			expect(cluster.recordOf(jobIdOf(1)).owner).to.not.equal('entry-1');
		},
	},
	{
		name: 'when several entries adopt a job at the same time, exactly one drives it',
		workers: 2, entries: 4,
		run(cluster) {
			cluster.submit(createWork(1, {idempotent: false, payload: {milliseconds: 40 * second}}));
			cluster.clock.advance(3 * second);
			cluster.killEntry(1);
			cluster.clock.advance(30 * second);
		},
		expected: {1: 'running'},
		check(cluster) {
			expect(cluster.recordOf(jobIdOf(1)).term).to.equal(2);
			expect(cluster.countDrivers(jobIdOf(1))).to.equal(1);
		},
	},
];

describe('gang scheduling with agents, entries and a store', () => {
	for (const {name, workers, entries, run, expected, check} of cases) {
		it(name, () => {
			const cluster = createCluster({
				seed: 7, workers, accelerators: 8, entries,
			});
			run(cluster);
			const states = Object.fromEntries(Object.keys(expected).map(number => [number, cluster.stateOf(jobIdOf(Number(number)))]));
			expect(states).to.deep.equal(expected);
			expect(cluster.observer.violations).to.deep.equal([]);
			check?.(cluster);
		});
	}

	it('a borrower that ignores the checkpoint request loses the cell within the grace period', () => {
		const cluster = createCluster({
			seed: 7, workers: 1, accelerators: 8, entries: 1, cells: new Map([[1, [{plan: planOf('urgent'), accelerators: [0, 1, 2, 3, 4, 5, 6, 7]}]]]),
		});
		cluster.submit(createWork(1, {preemptible: true, payload: {milliseconds: 600 * second, isStubborn: true}}));
		cluster.clock.advance(2 * second);
		expect(cluster.stateOf(jobIdOf(1))).to.equal('running');
		cluster.submit(createWork(2, {plan: planOf('urgent'), payload: {milliseconds: 60 * second}}));
		cluster.clock.advance(5.9 * second);
		expect(cluster.stateOf(jobIdOf(2))).to.equal('running');
		expect(cluster.running()).to.have.length(2);
		expect(cluster.observer.violations).to.deep.equal([]);
	});

	it('starting members one by one leaves two gangs partly running, and the job drivers leave none', () => {
		const gangs = [1, 2].map(number => createWork(number, {gang: gangOf(4), payload: {milliseconds: 600 * second}}));
		const memberwise = createCluster({
			seed: 7, workers: 2, accelerators: 8, entries: 1,
		});
		// Each job reserves one worker first and starts the members that fit there, so neither gang is complete.
		for (const [index, {jobId: job, plan}] of gangs.entries()) {
			const reference = {
				job, attempt: 1, replyId: 0, leaseMilliseconds: 60 * second,
			};
			const members = [0, 1].map(member => ({member, accelerators: [0, 1, 2, 3].map(accelerator => accelerator + (4 * member))}));
			memberwise.tellAgent(index + 1, {
				kind: 'reserve', ...reference, plan, submittedAt: index, preemptible: false, members,
			});
			memberwise.tellAgent(index + 1, {kind: 'commit', ...reference});
			memberwise.tellAgent(index + 1, {
				kind: 'start', ...reference, operation: 'cut', payload: {milliseconds: 600 * second}, checkpoints: {},
			});
		}

		memberwise.clock.advance(30 * second);
		expect(memberwise.observer.longestPartial()).to.be.greaterThan(29 * second);

		const scheduled = createCluster({
			seed: 7, workers: 2, accelerators: 8, entries: 1,
		});
		for (const work of gangs) {
			scheduled.submit(work);
		}

		scheduled.clock.advance(30 * second);
		expect(gangs.map(({jobId}) => scheduled.stateOf(jobId))).to.have.members(['running', 'placing']);
		expect(scheduled.observer.longestPartial()).to.be.lessThan(10);
	});
});
