import type {Clock} from '#kernel';
import type {WorkerClient} from '../worker-types.js';
import {isGangTask} from './tasks.js';

const clearRetryMilliseconds = 500;

/** Stops the gang tasks that an earlier incarnation of the agent left on the worker, until none runs. */
export async function clearWorker(client: WorkerClient, clock: Clock, isStopped: () => boolean): Promise<void> {
	while (!isStopped()) {
		const tasks = await client.list();
		const left = tasks?.filter(task => task.state === 'running' && isGangTask(task));
		if (left?.length === 0) {
			return;
		}

		await Promise.all((left ?? []).map(async ({taskId}) => client.stop(taskId)));
		await new Promise<void>(resolve => {
			clock.schedule(clearRetryMilliseconds, resolve);
		});
	}
}
