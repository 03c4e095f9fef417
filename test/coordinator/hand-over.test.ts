/** Random sequences of faults against the programs of entries and agents, with a store and workers in virtual time: each scheduler goes by what the one before has left in the store. */
import {expect} from 'chai';
import * as fastCheck from 'fast-check';
import {
	handOverStep, manyEndsStep, progressStep, workerFaultStep, workersRecordStep, type Step,
} from '#test/support/hand-over/actions';
import {createCluster, type ClusterOptions} from '#test/support/hand-over/cluster';

/** Longer than the wait for a worker that has not reported, and the leases that it may have. */
const settlingMilliseconds = 120_000;
const checkIntervalMilliseconds = 1000;

async function checkGuarantees(steps: readonly Step[], options: ClusterOptions = {}): Promise<void> {
	const cluster = createCluster(options);
	const checkRuns = (moment: string) => {
		expect(cluster.guarantees.violations(), moment).to.deep.equal([]);
	};

	await cluster.elapse(2000);
	for (const [index, {action, pause}] of steps.entries()) {
		cluster.act(action);
		await cluster.elapse(pause);
		checkRuns(`after step ${index}`);
	}

	await cluster.elapse(5000);
	cluster.heal();
	for (let waited = 0; waited < settlingMilliseconds && cluster.listOpenJobs().length > 0; waited += checkIntervalMilliseconds) {
		await cluster.elapse(checkIntervalMilliseconds);
	}

	checkRuns('after the last fault');
	expect(cluster.listOpenJobs(), 'jobs that did not end').to.deep.equal([]);
}

type RandomCase = Readonly<{name: string; step: fastCheck.Arbitrary<Step>; seed: number; options?: ClusterOptions}>;

const randomCases: readonly RandomCase[] = [
	{name: 'entries, agents and the store', step: handOverStep, seed: 1},
	{name: 'entries, agents, the store and workers', step: workerFaultStep, seed: 2},
	{name: 'one agent and the writes of the record of workers', step: workersRecordStep, seed: 3},
	{name: 'one agent and the writes of progress', step: progressStep, seed: 4},
	{
		name: 'entries and the store, beside workers that list two ends at a time', step: manyEndsStep, seed: 5, options: {listedEnds: 2},
	},
];

type Sequence = Readonly<{name: string; steps: readonly Step[]}>;

/** Sequences that broke a promise, shrunk. */
const sequences: readonly Sequence[] = [
	{
		name: 'a worker that returns after the record was written without it, with the answer lost, is known to the next scheduler (second run of its task)',
		steps: [
			{
				action: {
					kind: 'submit', count: 3, accelerators: 1, maximumPerWorker: 1, duration: 15_000,
				}, pause: 2500,
			},
			{
				action: {
					kind: 'cut-agents', agents: [0], from: 'all', duration: 9500,
				}, pause: 50,
			},
			{
				action: {
					kind: 'disturb-writes', key: '', writes: 1, fate: {kind: 'unanswered', appliedAfter: 5},
				}, pause: 9500,
			},
			{
				action: {
					kind: 'cut-agents', agents: [0], from: 'all', duration: 300,
				}, pause: 100,
			},
			{action: {kind: 'cut-store', duration: 300}, pause: 1000},
			{
				action: {
					kind: 'cut-agents', agents: [0], from: 'all', duration: 9500,
				}, pause: 50,
			},
		],
	},
	{
		name: 'a term is offered to an entry whose election fails (nobody schedules)',
		steps: [
			{
				action: {
					kind: 'disturb-writes', key: '', writes: 4, fate: {kind: 'refused'},
				}, pause: 250,
			},
			{
				action: {
					kind: 'submit', count: 1, accelerators: 1, maximumPerWorker: 0, duration: 400,
				}, pause: 250,
			},
		],
	},
	{
		name: 'a worker comes back and carries a late start out at the same moment, while its agent is cut off (start of a task that is done)',
		steps: [
			{
				action: {
					kind: 'delay-starts', agents: [0], starts: 1, delay: 9000,
				}, pause: 0,
			},
			{
				action: {
					kind: 'submit', count: 3, accelerators: 1, maximumPerWorker: 1, duration: 400,
				}, pause: 8000,
			},
			{
				action: {
					kind: 'cut-agents', agents: [0], from: 'all', duration: 5500,
				}, pause: 1000,
			},
			{action: {kind: 'restart-workers', agents: [0], identity: 'same'}, pause: 7000},
		],
	},
];

describe('hand-over from scheduler to scheduler', function () {
	this.timeout(120_000);

	for (const {name, steps} of sequences) {
		it(name, async () => {
			await checkGuarantees(steps);
		});
	}

	for (const {
		name, step, seed, options,
	} of randomCases) {
		it(`no task runs twice at once, or again once done, and every job ends after the faults of ${name}`, async () => {
			await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(step, {minLength: 4, maxLength: 16, size: 'max'}), async steps => checkGuarantees(steps, options)), {numRuns: 12, seed});
		});
	}
});
