import {expect} from 'chai';
import {createWorkerClient} from '../../packages/agent/worker-client';
import type {TaskStart, WorkerClient} from '#agent';
import {silentLog, systemClock} from '#kernel';
import {serveWorker} from '#stand-ins';
import {createHttpClient, type HttpClient} from '#transport';

type Clients = Readonly<{client: WorkerClient; operator: HttpClient}>;
type Case = Readonly<{name: string; perform: (clients: Clients) => Promise<unknown>; expected: unknown}>;

const task = (taskId: string, overrides: Partial<TaskStart> = {}): TaskStart => ({
	taskId, kind: 'roster', payload: {milliseconds: 5}, accelerators: [], leaseMilliseconds: 5000, ...overrides,
});
const setSwitches = async (operator: HttpClient, body: unknown) => operator.send('POST', '/switches', {body, timeout: 1000});

const cases: readonly Case[] = [
	{
		name: 'a start whose answer was lost counts as started once the worker knows the task',
		async perform({client, operator}) {
			await setSwitches(operator, {loseStartAnswers: true});
			const outcome = await client.start(task('lost-answer', {payload: {milliseconds: 20_000}, leaseMilliseconds: 20_000}));
			await setSwitches(operator, {loseStartAnswers: false});
			return outcome;
		},
		expected: {kind: 'started'},
	},
	{
		name: 'a start whose outcome cannot be queried is not reported as never started',
		async perform({client, operator}) {
			await setSwitches(operator, {hang: true});
			const outcome = await client.start(task('unresponsive'));
			await setSwitches(operator, {hang: false});
			return outcome.kind;
		},
		expected: 'perhaps-started',
	},
	{
		name: 'a task that was stopped before its start arrived never starts',
		async perform({client}) {
			const stopped = await client.stop('late');
			const outcome = await client.start(task('late'));
			return [stopped, outcome.kind];
		},
		expected: [{kind: 'found', task: {taskId: 'late', state: 'never-started'}}, 'never-started'],
	},
	{
		name: 'two tasks never hold the same accelerator',
		async perform({client}) {
			const long = {payload: {milliseconds: 500}};
			const first = await client.start(task('holder', {...long, accelerators: [0, 1]}));
			const second = await client.start(task('competitor', {...long, accelerators: [1, 2]}));
			return [first.kind, second.kind === 'never-started' ? second.reason : second.kind];
		},
		expected: ['started', 'accelerators-busy'],
	},
	{
		name: 'a task whose lease is not renewed is stopped, and a renewal names it as lapsed',
		async perform({client}) {
			await client.start(task('unrenewed', {payload: {milliseconds: 5000}, leaseMilliseconds: 50}));
			const end = await client.waitForEnd('unrenewed');
			return [end.kind === 'ended' && end.task.state, await client.renew(['unrenewed'], 50)];
		},
		expected: ['stopped', {kind: 'renewed', lapsed: ['unrenewed']}],
	},
	{
		name: 'a task that starts from a checkpoint runs only the remainder',
		async perform({client}) {
			await client.start(task('saved', {payload: {milliseconds: 60_000}, checkpoint: {remainingMilliseconds: 10}}));
			const end = await client.waitForEnd('saved');
			return end.kind === 'ended' && end.task.state;
		},
		expected: 'succeeded',
	},
];

describe('worker client', () => {
	let clients: Clients;

	before(async () => {
		const {port} = await serveWorker('127.0.0.1', 0, silentLog);
		const origin = `http://127.0.0.1:${port}`;
		clients = {client: createWorkerClient(origin, 20, systemClock), operator: createHttpClient(origin, 2)};
	});

	after(async () => {
		clients.client.close();
		await clients.operator.close();
	});

	for (const {name, perform, expected} of cases) {
		it(name, async () => {
			expect(await perform(clients)).to.deep.equal(expected);
		});
	}
});
