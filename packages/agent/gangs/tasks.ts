import type {ReservationMessage, TaskReference} from '#reservations';
import type {WorkerClient, WorkerTask} from '../worker-types.js';

const taskPrefix = 'gang/';

/** Names a member's task on the worker; an agent that starts anew recognises tasks of gangs by it. */
export function taskIdOf({job, attempt, member}: TaskReference): string {
	return `${taskPrefix}${job}/${attempt}/${member}`;
}

export function isGangTask({taskId}: Pick<WorkerTask, 'taskId'>): boolean {
	return taskId.startsWith(taskPrefix);
}

/** Tells the owner of the accelerators what the worker said about a task; nothing while it runs. */
export function describeTask(task: TaskReference, found: WorkerTask): ReservationMessage | undefined {
	switch (found.state) {
		case 'running': {
			return undefined;
		}

		case 'succeeded':
		case 'failed': {
			return {
				kind: 'task-finished', task, status: found.state, body: found.body,
			};
		}

		case 'stopped':
		case 'never-started': {
			return {kind: 'task-stopped', task, wasStarted: found.state === 'stopped'};
		}
	}
}

/** Follows a task from its start to its end. */
export async function runTask(client: WorkerClient, task: TaskReference, start: Parameters<WorkerClient['start']>[0]): Promise<ReservationMessage> {
	const outcome = await client.start(start);
	if (outcome.kind === 'never-started') {
		return {kind: 'task-stopped', task, wasStarted: false};
	}

	const end = await client.waitForEnd(start.taskId);
	const message = end.kind === 'ended' ? describeTask(task, end.task) : undefined;
	return message ?? {kind: 'task-lost', task};
}

/** Stops a task; undefined if the worker did not answer, so that the stop is repeated. */
export async function stopTask(client: WorkerClient, task: TaskReference): Promise<ReservationMessage | undefined> {
	const reply = await client.stop(taskIdOf(task));
	switch (reply.kind) {
		case 'found': {
			return describeTask(task, reply.task);
		}

		case 'unknown': {
			return {kind: 'task-stopped', task, wasStarted: true};
		}

		case 'failed': {
			return undefined;
		}
	}
}

/** Saves a task's state; undefined if it has none to save. */
export async function checkpointTask(client: WorkerClient, task: TaskReference): Promise<ReservationMessage | undefined> {
	const reply = await client.checkpoint(taskIdOf(task));
	return reply.kind === 'found' && reply.task.checkpoint !== undefined
		? {kind: 'task-checkpointed', task, checkpoint: reply.task.checkpoint}
		: undefined;
}
