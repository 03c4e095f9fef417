/** Identifies a caller that waits for a task's answer. Plain data, so that decisions can keep it in their state. */
export type ReplyId = number;

/** Connects callers that wait with the answers that a task gives later. */
export type PendingReplies<Answer> = Readonly<{
	/** Sends a message that carries a reply identifier and waits for the answer. */
	request(send: (replyId: ReplyId) => void): Promise<Answer>;
	/** Gives the answer; a second one for the same identifier is ignored. */
	answer(replyId: ReplyId, answer: Answer): void;
}>;

/**
Creates a table of waiting callers.

@example
```
const replies = createReplyTable<string>();
const answer = await replies.ask(replyId => task.send({kind: 'find', replyId}));
```
*/
export function createPendingReplies<Answer>(): PendingReplies<Answer> {
	const waiting = new Map<ReplyId, (answer: Answer) => void>();
	let next = 1;
	return {
		async request(send) {
			const replyId = next++;
			return new Promise(resolve => {
				waiting.set(replyId, resolve);
				send(replyId);
			});
		},
		answer(replyId, answer) {
			const resolve = waiting.get(replyId);
			waiting.delete(replyId);
			resolve?.(answer);
		},
	};
}
