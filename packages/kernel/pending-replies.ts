/** Identifies a pending reply of a task. It is plain data, so that a state machine can store it in its state. */
export type ReplyId = number;

/** Matches the replies of a task to the callers that wait for them. */
export type PendingReplies<Reply> = Readonly<{
	/** Sends a message with a new reply identifier and waits for the reply. */
	request(send: (replyId: ReplyId) => void): Promise<Reply>;
	/** Resolves a pending reply; a second reply with the same identifier is ignored. */
	resolve(replyId: ReplyId, reply: Reply): void;
}>;

/**
Creates an empty table of pending replies.

@example
```
const replies = createPendingReplies<string>();
const reply = await replies.request(replyId => task.send({kind: 'find', replyId}));
```
*/
export function createPendingReplies<Reply>(): PendingReplies<Reply> {
	const pending = new Map<ReplyId, (reply: Reply) => void>();
	let nextReplyId = 1;
	return {
		async request(send) {
			const replyId = nextReplyId++;
			return new Promise(resolve => {
				pending.set(replyId, resolve);
				send(replyId);
			});
		},
		resolve(replyId, reply) {
			const resolve = pending.get(replyId);
			pending.delete(replyId);
			resolve?.(reply);
		},
	};
}
