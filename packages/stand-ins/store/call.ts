import type {HttpReply, TaskHandle} from '#kernel';
import type {Respond, StoreMessage, StoreState} from './types.js';

/** Sends a message with a reply callback to the store's task and waits for the reply. */
export async function callStore(store: TaskHandle<StoreState, StoreMessage>, createMessage: (respond: Respond) => StoreMessage): Promise<HttpReply> {
	return new Promise(resolve => {
		store.send(createMessage(resolve));
	});
}
