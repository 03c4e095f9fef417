import {expect} from 'chai';
import {lateCallMilliseconds} from '#jobs';
import {waitFor} from '#test/support/processes';
import {startDeployment, type Deployment, type DeploymentOptions} from '#test/support/platform/deployment';

const step = {
	count: 2, cpu: 1000, mem_mb: 100, gpus: 1, estimate_ms: 300,
};
const gang = {...step, gang: true, same_rack: true};

async function submit(deployment: Deployment, path: string, steps: readonly unknown[], entry = 0) {
	return waitFor('acceptance', async () => {
		const answer = await deployment.call(entry, 'POST', path, {spec: 'text', steps});
		return answer?.status === 200 ? answer : undefined;
	});
}

/** A start without an answer delays its task until it can no longer be carried out. */
const lateStartMilliseconds = 20_000 + (2 * lateCallMilliseconds);

async function waitForState(deployment: Deployment, path: string, state: string, {entry = 0, timeout}: Readonly<{entry?: number; timeout?: number}> = {}) {
	return waitFor(`${path} ${state}`, async () => {
		const answer = await deployment.call(entry, 'GET', path);
		return (answer?.body as Readonly<{state?: string}> | undefined)?.state === state ? state : undefined;
	}, timeout);
}

/** Returns the tasks that have runs overlapping in time. */
function findOverlaps({workers}: Deployment): readonly string[] {
	const starts = workers.flatMap(worker => worker.records());
	return starts.flatMap(first => starts.some(second => first !== second && first.task === second.task
		&& second.startedAt >= first.startedAt && second.startedAt < (first.endedAt ?? Infinity))
		? [first.task]
		: []);
}

type Case = Readonly<{name: string; options: DeploymentOptions; run(deployment: Deployment): Promise<void>}>;

/** Shortest time for which the record of a scheduler that lost the store would stand: its lease, less the time since its last renewal. */
const leaseMilliseconds = 1000;

/** A worker lists its runs at least this often, since an agent waits no longer for the end of a run. */
const longPollMilliseconds = 1000;

/** A worker announces itself every 0.3 s, and its agent passes it on twice a second. */
const capacityReportMilliseconds = 1000;

const first = '00000000000000a1';
const second = '00000000000000a2';

const cases: readonly Case[] = [
	{
		name: 'a job of two steps and a gang complete, and the later step starts after the earlier one (whole path)',
		options: {entries: 2, workers: 3, workMilliseconds: 300},
		async run(deployment) {
			await submit(deployment, `/batch/${first}`, [step, {...step, after: [0]}]);
			await submit(deployment, `/urgent/${second}`, [gang], 1);
			await waitForState(deployment, `/batch/${first}`, 'completed');
			await waitForState(deployment, `/urgent/${second}`, 'completed', {entry: 1});
			const records = deployment.workers.flatMap(worker => worker.records());
			const ofStep = (index: number) => records.filter(({task}) => task.startsWith(`${first}.0.${index}.`));
			expect(Math.min(...ofStep(1).map(({startedAt}) => startedAt))).to.be.at.least(Math.max(...ofStep(0).map(({endedAt}) => endedAt ?? Infinity)));
			expect(findOverlaps(deployment)).to.deep.equal([]);
		},
	},
	{
		name: 'the same identifier submitted to two entries is one job (job run twice)',
		options: {entries: 2, workers: 2, workMilliseconds: 200},
		async run(deployment) {
			await Promise.all([submit(deployment, `/batch/${first}`, [step], 0), submit(deployment, `/batch/${first}`, [step], 1)]);
			await waitForState(deployment, `/batch/${first}`, 'completed');
			expect(deployment.workers.flatMap(worker => worker.records())).to.have.length(2);
		},
	},
	{
		name: 'runs continue under the next scheduler after theirs was killed (work lost or duplicated by a takeover)',
		options: {entries: 2, workers: 2, workMilliseconds: 6000},
		async run(deployment) {
			await submit(deployment, `/batch/${first}`, [step]);
			await waitFor('starts', async () => deployment.workers.flatMap(worker => worker.records()).length === 2 ? true : undefined);
			const {entry} = deployment.store.read('cluster/leader') as Readonly<{entry: string}>;
			const index = deployment.entries.findIndex(({name}) => name === entry);
			deployment.entries[index]?.daemon.process.kill('SIGKILL');
			await waitForState(deployment, `/batch/${first}`, 'completed', {entry: 1 - index});
			expect(deployment.workers.flatMap(worker => worker.records()).map(({ending}) => ending)).to.deep.equal(['done', 'done']);
		},
	},
	{
		name: 'agents find a scheduler to which they had no connection (runs lost in a takeover with many entries)',
		options: {entries: 6, workers: 3, workMilliseconds: 6000},
		async run(deployment) {
			await submit(deployment, `/batch/${first}`, [{...step, count: 3}]);
			await waitFor('starts', async () => deployment.workers.flatMap(worker => worker.records()).length === 3 ? true : undefined);
			const {entry} = deployment.store.read('cluster/leader') as Readonly<{entry: string}>;
			const index = deployment.entries.findIndex(({name}) => name === entry);
			deployment.entries[index]?.daemon.process.kill('SIGKILL');
			await waitForState(deployment, `/batch/${first}`, 'completed', {entry: (index + 1) % 6});
			expect(deployment.workers.flatMap(worker => worker.records()).map(({ending}) => ending)).to.deep.equal(['done', 'done', 'done']);
		},
	},
	{
		name: 'a scheduler that alone loses the store hands over at once, and its orders do not meet those of the next one (no job starts until its lease ends)',
		options: {entries: 3, workers: 2, workMilliseconds: 3000},
		async run(deployment) {
			await submit(deployment, `/batch/${first}`, [step]);
			const {entry} = deployment.store.read('cluster/leader') as Readonly<{entry: string}>;
			const index = deployment.entries.findIndex(({name}) => name === entry);
			const lostAt = Date.now();
			deployment.entries[index]?.storeLink.setResetting(true);
			const next = await waitFor('next scheduler', async () => {
				const record = deployment.store.read('cluster/leader') as Readonly<{entry: string; epoch: number}> | undefined;
				return record === undefined || record.entry === entry ? undefined : record;
			});
			expect(next).to.include({epoch: 2});
			expect(Date.now() - lostAt).to.be.below(leaseMilliseconds);
			await submit(deployment, `/batch/${second}`, [step], (index + 1) % 3);
			await waitForState(deployment, `/batch/${first}`, 'completed', {entry: (index + 1) % 3});
			await waitForState(deployment, `/batch/${second}`, 'completed', {entry: (index + 1) % 3});
			expect(deployment.workers.flatMap(worker => worker.records()).map(({ending}) => ending)).to.deep.equal(['done', 'done', 'done', 'done']);
		},
	},
	{
		name: 'a stopping entry continues to schedule while there is no other entry (no scheduler during a restart of all entries)',
		options: {entries: 1, workers: 1, workMilliseconds: 100},
		async run(deployment) {
			deployment.entries[0]?.daemon.process.kill('SIGTERM');
			await submit(deployment, `/batch/${first}`, [{...step, count: 1}]);
			await waitForState(deployment, `/batch/${first}`, 'completed');
			expect(await deployment.entries[0]?.daemon.exited).to.equal(0);
		},
	},
	{
		name: 'killing an agent does not stop its worker\'s runs (lease lost in a restart)',
		options: {entries: 1, workers: 1, workMilliseconds: 2500},
		async run(deployment) {
			await submit(deployment, `/batch/${first}`, [{...step, count: 1}]);
			await waitFor('start', async () => deployment.workers[0]?.records().length === 1 ? true : undefined);
			deployment.agents[0]?.process.kill('SIGKILL');
			await new Promise(resolve => {
				setTimeout(resolve, 3000);
			});
			expect(deployment.workers[0]?.records().map(({ending}) => ending)).to.deep.equal(['done']);
		},
	},
	{
		name: 'a job fails after its queue\'s maximum attempts, each on a different worker (endless retries)',
		options: {
			entries: 1, workers: 2, workMilliseconds: 100, failingWorkers: 2,
		},
		async run(deployment) {
			await submit(deployment, `/batch/${first}`, [{...step, count: 1}]);
			await waitForState(deployment, `/batch/${first}`, 'failed');
			expect(deployment.workers.map(worker => worker.records().length)).to.deep.equal([1, 1]);
		},
	},
	{
		name: 'a cancelled job is stopped and stays cancelled; an unknown job is answered with 410 (work after a cancellation)',
		options: {entries: 1, workers: 1, workMilliseconds: 20_000},
		async run(deployment) {
			await submit(deployment, `/batch/${first}`, [{...step, count: 1}]);
			await waitFor('start', async () => deployment.workers[0]?.records().length === 1 ? true : undefined);
			expect(await deployment.call(0, 'DELETE', `/batch/${first}`)).to.include({status: 200});
			await waitFor('stop', async () => deployment.workers[0]?.records()[0]?.ending === 'stopped' ? true : undefined);
			await waitForState(deployment, `/batch/${first}`, 'cancelled');
			expect(await deployment.call(0, 'DELETE', `/batch/${second}`)).to.include({status: 410});
			expect(await deployment.call(0, 'GET', `/batch/${second}`)).to.include({status: 410});
		},
	},
	{
		name: 'submissions are refused at once while the store refuses calls, and running work continues (work lost in an outage)',
		options: {entries: 1, workers: 1, workMilliseconds: 4000},
		async run(deployment) {
			await submit(deployment, `/batch/${first}`, [{...step, count: 1}]);
			await waitFor('start', async () => deployment.workers[0]?.records().length === 1 ? true : undefined);
			deployment.store.setMode('busy');
			const startedAt = Date.now();
			expect(await deployment.call(0, 'POST', `/batch/${second}`, {spec: '', steps: [step]})).to.include({status: 503});
			expect(Date.now() - startedAt).to.be.below(1000);
			await new Promise(resolve => {
				setTimeout(resolve, 3000);
			});
			deployment.store.setMode('serving');
			await waitForState(deployment, `/batch/${first}`, 'completed');
			expect(deployment.workers[0]?.records()).to.have.length(1);
			expect(deployment.store.read(`jobs/${second}`)).to.equal(undefined);
		},
	},
	{
		name: 'a submission that may have been stored is not refused by any entry afterwards (stored job reported as refused)',
		options: {entries: 2, workers: 1, workMilliseconds: 300},
		async run(deployment) {
			await submit(deployment, `/batch/${second}`, [step]);
			deployment.store.setMode('losing');
			expect(await deployment.call(0, 'POST', `/batch/${first}`, {spec: '', steps: [step]})).to.include({status: 504});
			deployment.store.setMode('busy');
			await new Promise(resolve => {
				setTimeout(resolve, 1500);
			});
			expect(await deployment.call(1, 'POST', `/batch/${first}`, {spec: '', steps: [step]})).to.include({status: 504});
			deployment.store.setMode('serving');
			await waitForState(deployment, `/batch/${first}`, 'completed');
		},
	},
	{
		name: 'unanswered starts that are applied late run no task twice (late order)',
		options: {entries: 1, workers: 2, workMilliseconds: 1500},
		async run(deployment) {
			deployment.workers[0]?.delayOrders(['start'], 2500);
			await submit(deployment, `/batch/${first}`, [step]);
			await waitForState(deployment, `/batch/${first}`, 'completed', {timeout: lateStartMilliseconds});
			expect(findOverlaps(deployment)).to.deep.equal([]);
		},
	},
	{
		name: 'a task that crashes its workers is given up, and other work completes (worker after worker crashes)',
		options: {
			entries: 1, workers: 3, workMilliseconds: 300, crashesOn: task => task.startsWith(first),
		},
		async run(deployment) {
			await submit(deployment, `/batch/${first}`, [{...step, count: 1}]);
			await submit(deployment, `/batch/${second}`, [step]);
			await waitForState(deployment, `/batch/${first}`, 'failed', {timeout: lateStartMilliseconds});
			await waitForState(deployment, `/batch/${second}`, 'completed', {timeout: lateStartMilliseconds});
			expect(deployment.workers.reduce((total, worker) => total + worker.crashes(), 0)).to.equal(3);
		},
	},
	{
		name: 'a task that crashes its workers before it makes progress is given up after three crashes, also if the workers list it before (worker after worker crashes)',
		options: {
			entries: 1, workers: 3, workMilliseconds: 3000, crashesOn: task => task.startsWith(first), crashDelayMilliseconds: longPollMilliseconds + 200,
		},
		async run(deployment) {
			await submit(deployment, `/batch/${first}`, [{...step, count: 1}]);
			await waitForState(deployment, `/batch/${first}`, 'failed', {timeout: lateStartMilliseconds});
			expect(deployment.workers.reduce((total, worker) => total + worker.crashes(), 0)).to.equal(3);
		},
	},
	{
		name: 'starts keep to the capacity of a worker that shrinks and grows again (worker over its capacity)',
		options: {entries: 1, workers: 1, workMilliseconds: 1500},
		async run(deployment) {
			const [worker] = deployment.workers;
			await submit(deployment, `/batch/${first}`, [step]);
			await waitFor('starts', async () => worker?.records().length === 2 ? true : undefined);
			worker?.setAccelerators(1);
			await new Promise(resolve => {
				setTimeout(resolve, capacityReportMilliseconds);
			});
			await submit(deployment, `/batch/${second}`, [step]);
			await waitForState(deployment, `/batch/${first}`, 'completed');
			await waitFor('start', async () => worker?.records().length === 3 ? true : undefined);
			expect(worker?.records()[2]?.startedAt).to.be.at.least(Math.max(...worker?.records().slice(0, 2).map(({endedAt}) => endedAt ?? Infinity) ?? []));
			worker?.setAccelerators(8);
			await waitFor('start in the room that grew', async () => worker?.records().length === 4 ? true : undefined);
			expect(worker?.records()[2]?.endedAt).to.equal(undefined);
			await waitForState(deployment, `/batch/${second}`, 'completed');
		},
	},
];

describe('entry and agent programs on the platform', function () {
	this.timeout(90_000);
	for (const {name, options, run} of cases) {
		it(name, async () => {
			const deployment = await startDeployment(options);
			try {
				await run(deployment);
			} finally {
				await deployment.stop();
			}
		});
	}
});
