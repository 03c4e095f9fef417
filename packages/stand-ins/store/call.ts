import type {HttpReply} from '#kernel';
import type {
	Respond, StoreCall, StoreMessage, StoreTask,
} from './types.js';

/** Sends a service call to the store task and waits for the reply. */
export async function callStore(store: StoreTask, call: StoreCall): Promise<HttpReply> {
	return sendToStore(store, respond => ({kind: 'call', call, respond}));
}

/** Sends a message with a reply callback to the store task and waits for the reply. */
export async function sendToStore(store: StoreTask, createMessage: (respond: Respond) => StoreMessage): Promise<HttpReply> {
	return new Promise(resolve => {
		store.send(createMessage(resolve));
	});
}
