import {expect} from 'chai';
import {configurationKey} from '#configuration';
import {createHttpStore} from '#store';
import {createHttpClient, type HttpClient, type HttpResult} from '#transport';
import {
	killAll, startDaemon, waitFor, type Daemon,
} from '#test/support/processes';

const timeout = 10_000;
const configuration = {
	plans: [{name: 'rosters'}], allowances: [{plan: 'rosters', maximumSlots: 8, maximumAccelerators: 32}], revision: 1, changeId: 'first', changedBy: 'test', changedAt: 0,
};
const region = 'north';
const zone = 'north-a';

type JobBody = Readonly<{state: string; reason?: string; outcome?: string; members?: ReadonlyArray<Readonly<{worker: string}>>; results?: ReadonlyArray<Readonly<{member: number}>>}>;

function createJob(number: number, overrides: Readonly<Record<string, unknown>> = {}) {
	return {
		jobId: `01890a5d-ac96-774b-bcce-b302099a8${number}`,
		plan: 'rosters',
		kind: 'cut',
		idempotent: false,
		gang: {members: 4, acceleratorsPerMember: 4, adjacency: 'zone'},
		preemptible: false,
		payload: {milliseconds: 300},
		...overrides,
	};
}

function bodyOf(reply: HttpResult): JobBody {
	return (reply as Readonly<{body: JobBody}>).body;
}

type Case = Readonly<{name: string; body: unknown; status: number; expected: Readonly<Record<string, unknown>>}>;

const refusals: readonly Case[] = [
	{
		name: 'refuses a gang that is larger than the plan may ever use',
		body: createJob(101, {gang: {members: 9, acceleratorsPerMember: 4, adjacency: 'zone'}}),
		status: 422,
		expected: {outcome: 'not-run', reason: 'impossible-shape'},
	},
	{
		name: 'refuses a plan that the operators did not create',
		body: createJob(102, {plan: 'nobody'}),
		status: 403,
		expected: {outcome: 'not-run', reason: 'unknown-plan'},
	},
	{
		name: 'refuses another job under an identifier that is in use',
		body: createJob(100, {kind: 'other'}),
		status: 409,
		expected: {reason: 'identifier-reused'},
	},
];

describe('gangs through separate processes', () => {
	const daemons: Daemon[] = [];
	const workers: HttpClient[] = [];
	const callers: HttpClient[] = [];
	let owner: Daemon;

	const call = async (caller: number, method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown) => callers[caller]!.send(method, path, {body, timeout});
	const waitForState = async (caller: number, job: string, state: string, limit?: number) => waitFor(`job ${job} to be ${state}`, async () => {
		const reply = await call(caller, 'GET', `/v1/jobs/${job}`);
		return bodyOf(reply).state === state ? bodyOf(reply) : undefined;
	}, limit);

	before(async () => {
		const store = await startDaemon('stand-in-store', {'listen-port': 0});
		daemons.push(store);
		const storeOrigin = `http://127.0.0.1:${store.ports['http']}`;
		const entries: Daemon[] = [];
		for (const number of [1, 2]) {
			const entry = await startDaemon('dotterelnotch-entry', {
				entry: `entry-${number}`, region, zone, 'store-origin': storeOrigin, 'listen-port': 0, 'peer-port': 0, 'log-level': 'error',
			});
			entries.push(entry);
			callers.push(createHttpClient(`http://127.0.0.1:${entry.ports['http']}`, 4));
		}

		owner = entries[0]!;
		daemons.push(...entries);
		const addresses = entries.map(entry => `127.0.0.1:${entry.ports['peers']}`).join(',');
		for (const number of [1, 2]) {
			const worker = await startDaemon('stand-in-worker', {'listen-port': 0});
			workers.push(createHttpClient(`http://127.0.0.1:${worker.ports['http']}`, 2));
			daemons.push(worker, await startDaemon('dotterelnotch-agent', {
				worker: `worker-${number}`, region, zone, rack: 'rack-1', 'worker-origin': `http://127.0.0.1:${worker.ports['http']}`, entries: addresses, 'log-level': 'error',
			}));
		}

		const keyValueStore = createHttpStore(storeOrigin);
		await keyValueStore.write(configurationKey, configuration, {expectedVersion: 0});
		await keyValueStore.close();
	});

	after(async () => {
		await Promise.all([...callers, ...workers].map(async client => client.close()));
		await killAll(daemons);
	});

	it('runs a gang over two workers and returns the result of every member', async () => {
		const job = createJob(100);
		const accepted = await waitFor('the configuration', async () => {
			const reply = await call(0, 'POST', '/v1/jobs', job);
			return reply.kind === 'answered' && reply.status === 202 ? reply : undefined;
		});
		expect(bodyOf(accepted).state).to.equal('queued');
		const finished = await waitForState(0, job.jobId, 'finished');
		expect(finished.outcome).to.equal('completed');
		expect(finished.results?.map(({member}) => member)).to.deep.equal([0, 1, 2, 3]);
	});

	it('answers the same job again with its state, through any entry, and runs it once', async () => {
		const job = createJob(100);
		for (const caller of [0, 1]) {
			const reply = await call(caller, 'POST', '/v1/jobs', job);
			expect(reply).to.include({kind: 'answered', status: 200});
			expect(bodyOf(reply).state).to.equal('finished');
		}

		expect(await countStarts(workers, job.jobId)).to.equal(4);
	});

	for (const {name, body, status, expected} of refusals) {
		it(name, async () => {
			const reply = await call(0, 'POST', '/v1/jobs', body);
			expect(reply).to.include({kind: 'answered', status});
			expect(bodyOf(reply)).to.deep.include(expected);
		});
	}

	it('stops a running gang that is cancelled through an entry that does not own it', async () => {
		const job = createJob(103, {payload: {milliseconds: 60_000}});
		await call(0, 'POST', '/v1/jobs', job);
		await waitForState(0, job.jobId, 'running');
		const cancelled = await call(1, 'DELETE', `/v1/jobs/${job.jobId}`);
		expect(cancelled).to.include({kind: 'answered', status: 202});
		const ended = await waitForState(0, job.jobId, 'cancelled');
		expect(ended.outcome).to.equal('stopped');
	});

	it('a running gang whose entry is killed is adopted, goes on and starts nothing twice', async () => {
		const job = createJob(104, {payload: {milliseconds: 30_000}});
		await call(0, 'POST', '/v1/jobs', job);
		await waitForState(0, job.jobId, 'running');
		owner.process.kill('SIGKILL');
		const finished = await waitForState(1, job.jobId, 'finished', 50_000);
		expect(finished.outcome).to.equal('completed');
		expect(await countStarts(workers, job.jobId)).to.equal(4);
	});
});

/** Tasks of a job that the workers know. */
async function countStarts(workers: readonly HttpClient[], job: string): Promise<number> {
	const replies = await Promise.all(workers.map(async worker => worker.send('GET', '/tasks', {timeout})));
	const tasks = replies.flatMap(reply => (reply as Readonly<{body: Readonly<{tasks: ReadonlyArray<Readonly<{taskId: string}>>}>}>).body.tasks);
	return tasks.filter(({taskId}) => taskId.includes(job)).length;
}
