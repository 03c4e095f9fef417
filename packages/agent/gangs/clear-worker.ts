import type {Clock} from '#kernel';
import type {WorkerClient} from '../worker-types.js';
import {isGangTask} from './tasks.js';

const clearRetryMilliseconds = 500;

/** Stops gang tasks of earlier incarnations of the agent until none is running on the worker. */
export async function clearWorker(client: WorkerClient, clock: Clock, isStopped: () => boolean): Promise<void> {
	while (!isStopped()) {
		const tasks = await client.list();
		const running = tasks?.filter(task => task.state === 'running' && isGangTask(task));
		if (running?.length === 0) {
			return;
		}

		await Promise.all((running ?? []).map(async ({taskId}) => client.stop(taskId)));
		await new Promise<void>(resolve => {
			clock.schedule(clearRetryMilliseconds, resolve);
		});
	}
}
