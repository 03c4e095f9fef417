import type {ReservationMessage, TaskReference} from '#reservations';
import type {WorkerClient, WorkerTask} from '../worker-types.js';

const taskPrefix = 'gang/';

/** Returns the worker's task identifier of a gang member. A restarted agent recognizes gang tasks by its prefix. */
export function taskIdOf({job, attempt, member}: TaskReference): string {
	return `${taskPrefix}${job}/${attempt}/${member}`;
}

export function isGangTask({taskId}: Pick<WorkerTask, 'taskId'>): boolean {
	return taskId.startsWith(taskPrefix);
}

/** Converts the worker's state of a task to a message for the reservations task; undefined while the task runs. */
export function toTaskMessage(task: TaskReference, found: WorkerTask): ReservationMessage | undefined {
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

/** Starts a task and waits for its end. */
export async function runTask(client: WorkerClient, task: TaskReference, start: Parameters<WorkerClient['start']>[0]): Promise<ReservationMessage> {
	const outcome = await client.start(start);
	if (outcome.kind === 'never-started') {
		return {kind: 'task-stopped', task, wasStarted: false};
	}

	const end = await client.waitForEnd(start.taskId);
	const message = end.kind === 'ended' ? toTaskMessage(task, end.task) : undefined;
	return message ?? {kind: 'task-lost', task};
}

/** Stops a task; undefined if the worker did not answer or still runs the task, in which case the stop is repeated. */
export async function stopTask(client: WorkerClient, task: TaskReference): Promise<ReservationMessage | undefined> {
	const reply = await client.stop(taskIdOf(task));
	switch (reply.kind) {
		case 'found': {
			return toTaskMessage(task, reply.task);
		}

		case 'unknown': {
			return {kind: 'task-stopped', task, wasStarted: true};
		}

		case 'failed': {
			return undefined;
		}
	}
}

/** Checkpoints a task; undefined if there is no checkpoint. */
export async function checkpointTask(client: WorkerClient, task: TaskReference): Promise<ReservationMessage | undefined> {
	const reply = await client.checkpoint(taskIdOf(task));
	return reply.kind === 'found' && reply.task.checkpoint !== undefined
		? {kind: 'task-checkpointed', task, checkpoint: reply.task.checkpoint}
		: undefined;
}
