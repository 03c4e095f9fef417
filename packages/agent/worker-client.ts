import * as valibot from 'valibot';
import type {RequestWork, RunResult} from '#core';
import {createHttpClient} from '#transport';

const taskSchema = valibot.object({
	state: valibot.picklist(['running', 'succeeded', 'failed', 'stopped']),
	body: valibot.optional(valibot.unknown()),
});

/** How long one wait for the end of a task may take before it is asked for again. */
const waitTimeoutMilliseconds = 60_000;
const startTimeoutMilliseconds = 5000;
const requestLeaseMilliseconds = 60_000;

/** Result of a run on the worker. */
export type WorkerRun = Pick<RunResult, 'status' | 'body'>;

export type WorkerClient = Readonly<{run(work: RequestWork): Promise<WorkerRun>}>;

/** Creates a client of the worker's task interface. */
export function createWorkerClient(origin: string, connections: number): WorkerClient {
	const client = createHttpClient(origin, connections);
	return {
		async run(work) {
			const taskId = work.requestId;
			await client.send('POST', '/tasks', {
				body: {
					taskId, kind: work.kind, payload: work.payload, accelerators: [], leaseMilliseconds: requestLeaseMilliseconds,
				},
				timeout: startTimeoutMilliseconds,
			});
			const ended = await client.send('GET', `/tasks/${taskId}`, {timeout: waitTimeoutMilliseconds});
			const task = ended.kind === 'answered' ? valibot.safeParse(taskSchema, ended.body) : undefined;
			return task?.success === true && task.output.state === 'succeeded'
				? {status: 'succeeded', body: task.output.body}
				: {status: 'failed', body: task?.success === true ? task.output.body : undefined};
		},
	};
}
