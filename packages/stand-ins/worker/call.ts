import type {HttpReply, TaskHandle} from '#kernel';
import type {Respond, WorkerMessage, WorkerState} from './types.js';

/** Sends a message with a reply callback to the worker task and waits for the reply. */
export async function callWorker(worker: TaskHandle<WorkerState, WorkerMessage>, createMessage: (respond: Respond) => WorkerMessage): Promise<HttpReply> {
	return new Promise(resolve => {
		worker.send(createMessage(resolve));
	});
}
