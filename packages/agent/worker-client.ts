import * as valibot from 'valibot';
import type {Milliseconds} from '#core';
import type {Clock} from '#kernel';
import {createHttpClient, type HttpClient, type HttpResult} from '#transport';
import {
	workerTaskSchema, workerTasksSchema, type StartOutcome, type TaskEnd, type TaskReply, type TaskStart, type WorkerClient,
} from './worker-types.js';

/** Timeout of one call other than a long poll. */
const callTimeoutMilliseconds = 3000;
/** Duration of one long poll, which is also the interval of lease renewals by a wait. */
const waitMilliseconds = 3000;
const waitTimeoutMilliseconds = waitMilliseconds + 2000;
const waitRetryMilliseconds = 250;
/** Time without an answer after which a wait without a lease reports the task as lost. */
const lostAfterMilliseconds = 10_000;
/** Connections that are reserved for starts, renewals and stops, so that long polls cannot delay them. */
const controlConnections = 8;

const refusalSchema = valibot.object({reason: valibot.string()});
const renewedSchema = valibot.object({lapsed: valibot.pipe(valibot.array(valibot.string()), valibot.readonly())});

/**
Creates a client of the worker's task interface.

@param connections - Maximum number of connections to the worker.
*/
export function createWorkerClient(origin: string, connections: number, clock: Clock): WorkerClient {
	const control = createHttpClient(origin, Math.max(1, Math.min(controlConnections, connections - 1)));
	const waits = createHttpClient(origin, Math.max(1, connections - controlConnections));

	const call = async (method: 'GET' | 'POST', path: string, body?: unknown): Promise<TaskReply> =>
		readTaskReply(await control.send(method, path, {body, timeout: callTimeoutMilliseconds}));
	const find = async (taskId: string) => call('GET', `${taskPath(taskId)}?wait=0`);
	const stop = async (taskId: string) => call('POST', `${taskPath(taskId)}/stop`);

	return {
		async start(task) {
			const outcome = await sendStart(control, task);
			return outcome.kind === 'perhaps-started' ? resolveStart(outcome, await find(task.taskId), async () => stop(task.taskId)) : outcome;
		},
		async renew(taskIds, leaseMilliseconds) {
			const result = await control.send('POST', '/renewals', {body: {taskIds, leaseMilliseconds}, timeout: callTimeoutMilliseconds});
			const renewed = result.kind === 'answered' ? valibot.safeParse(renewedSchema, result.body) : undefined;
			return renewed?.success === true ? {kind: 'renewed', ...renewed.output} : {kind: 'failed', message: describeFailure(result)};
		},
		checkpoint: async taskId => call('POST', `${taskPath(taskId)}/checkpoint`),
		throttle: async (taskId, share) => call('POST', `${taskPath(taskId)}/throttle`, {share}),
		stop,
		find,
		async list() {
			const result = await control.send('GET', '/tasks', {timeout: callTimeoutMilliseconds});
			const listed = result.kind === 'answered' ? valibot.safeParse(workerTasksSchema, result.body) : undefined;
			return listed?.success === true ? listed.output.tasks : undefined;
		},
		waitForEnd: async (taskId, leaseMilliseconds) => waitForEnd(waits, clock, taskId, leaseMilliseconds),
		close() {
			void control.close();
			void waits.close();
		},
	};
}

function taskPath(taskId: string): string {
	return `/tasks/${encodeURIComponent(taskId)}`;
}

async function sendStart(client: HttpClient, task: TaskStart): Promise<StartOutcome> {
	const result = await client.send('POST', '/tasks', {body: task, timeout: callTimeoutMilliseconds});
	const message = describeFailure(result);
	if (result.kind === 'failed') {
		return result.delivery === 'never-sent' ? {kind: 'never-started', reason: 'worker-failed', message} : {kind: 'perhaps-started', message};
	}

	if (result.status === 201) {
		return {kind: 'started'};
	}

	const refusal = valibot.safeParse(refusalSchema, result.body);
	const reason = refusal.success ? refusal.output.reason : undefined;
	// The worker knows the identifier, so this or an earlier incarnation of the agent started the task.
	if (reason === 'task-exists') {
		return {kind: 'started'};
	}

	return result.status >= 500
		? {kind: 'perhaps-started', message}
		: {kind: 'never-started', reason: reason === 'accelerators-in-use' ? 'accelerators-busy' : 'worker-failed', message};
}

/** Resolves an unconfirmed start. If the worker does not know the task, its start may still be in transit, so the identifier is stopped before the task counts as never started. */
async function resolveStart(outcome: StartOutcome & Readonly<{message: string}>, found: TaskReply, stop: () => Promise<TaskReply>): Promise<StartOutcome> {
	const reply = found.kind === 'unknown' ? await stop() : found;
	if (reply.kind !== 'found') {
		return outcome;
	}

	return reply.task.state === 'never-started' ? {kind: 'never-started', reason: 'worker-failed', message: outcome.message} : {kind: 'started'};
}

async function waitForEnd(client: HttpClient, clock: Clock, taskId: string, leaseMilliseconds?: Milliseconds): Promise<TaskEnd> {
	const lease = leaseMilliseconds === undefined ? '' : `&lease=${leaseMilliseconds}`;
	const maximumSilence = leaseMilliseconds ?? lostAfterMilliseconds;
	let answeredAt = clock.monotonic();
	for (;;) {
		const sentAt = clock.monotonic();
		const result = await client.send('GET', `${taskPath(taskId)}?wait=${waitMilliseconds}${lease}`, {timeout: waitTimeoutMilliseconds});
		const reply = readTaskReply(result);
		switch (reply.kind) {
			case 'found': {
				if (reply.task.state !== 'running') {
					return {kind: 'ended', task: reply.task};
				}

				answeredAt = sentAt;
				break;
			}

			case 'unknown': {
				return {kind: 'lost', message: 'the worker does not know the task'};
			}

			case 'failed': {
				if (clock.monotonic() - answeredAt >= maximumSilence) {
					return {kind: 'lost', message: reply.message};
				}

				await new Promise<void>(resolve => {
					clock.schedule(waitRetryMilliseconds, resolve);
				});
			}
		}
	}
}

function readTaskReply(result: HttpResult): TaskReply {
	if (result.kind === 'answered' && result.status === 404) {
		return {kind: 'unknown'};
	}

	const task = result.kind === 'answered' && result.status < 300 ? valibot.safeParse(workerTaskSchema, result.body) : undefined;
	return task?.success === true ? {kind: 'found', task: task.output} : {kind: 'failed', message: describeFailure(result)};
}

function describeFailure(result: HttpResult): string {
	return result.kind === 'failed' ? result.message : `the worker answered with status ${result.status}`;
}
