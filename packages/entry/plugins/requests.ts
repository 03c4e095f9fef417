import {randomUUID} from 'node:crypto';
import type {Outcome, RequestId, RequestWork} from '#core';
import {
	createPendingReplies, createServiceKey, startTask, type TaskHandle,
} from '#kernel';
import {entryPlugins} from '../plugins.js';
import {startRequestTask, type RequestHandle} from '../requests/request-task.js';
import {computeDigest, initialRequestsState, receiveRequestsMessage} from '../requests/table.js';
import type {
	CancelReply, RequestsEffect, RequestsMessage, RequestsState, SubmitOptions, SubmitReply,
} from '../requests/types.js';
import type {EntryContext} from '../types.js';

export type RequestsService = Readonly<{
	/** Processes a request, or joins the request in flight with the same identifier. The signal reports that the caller has disconnected. */
	submit(work: RequestWork, options: SubmitOptions, signal?: AbortSignal): Promise<SubmitReply>;
	cancel(requestId: RequestId): Promise<CancelReply>;
	read(): RequestsState;
	/** Resolves once every request is settled, including requests forwarded by other entries. */
	waitUntilSettled(): Promise<void>;
}>;

/** The task that owns the requests of this entry. */
export const requestsService = createServiceKey<RequestsService>('requests');

entryPlugins.register({
	kind: 'task',
	name: 'requests',
	start(context) {
		const submitReplies = createPendingReplies<SubmitReply>();
		const cancelReplies = createPendingReplies<CancelReply>();
		const tasks = new Map<number, RequestHandle>();
		const owner = `${context.settings.entry}/${randomUUID().slice(0, 8)}`;
		const requests: TaskHandle<RequestsState, RequestsMessage> = startTask(
			{name: 'requests', initialState: initialRequestsState, receive: receiveRequestsMessage},
			{
				clock: context.clock,
				perform(effect, send) {
					switch (effect.kind) {
						case 'start': {
							const task = startInFlightRequest({...effect, owner}, context, send, () => {
								tasks.delete(effect.number);
							});
							if (task.read().phase.kind !== 'concluded') {
								tasks.set(effect.number, task);
							}

							break;
						}

						case 'send': {
							tasks.get(effect.number)?.send(effect.message);
							break;
						}

						case 'decide-retry': {
							tasks.get(effect.number)?.send(effect.isAllowed ? {kind: 'retry-granted', jitter: context.random()} : {kind: 'retry-denied'});
							break;
						}

						case 'reply-submit': {
							submitReplies.resolve(effect.replyId, effect.reply);
							break;
						}

						case 'reply-cancel': {
							cancelReplies.resolve(effect.replyId, effect.reply);
							break;
						}
					}
				},
			},
		);
		context.services.provide(requestsService, {
			submit: async (work, options, signal) => submitReplies.request(replyId => {
				requests.send({
					kind: 'submit', work, digest: computeDigest(work), options, replyId,
				});
				signal?.addEventListener('abort', () => {
					requests.send({kind: 'left', requestId: work.requestId, replyId});
				}, {once: true});
			}),
			cancel: async requestId => cancelReplies.request(replyId => {
				requests.send({kind: 'cancel', requestId, replyId});
			}),
			read: requests.read,
			async waitUntilSettled() {
				await new Promise<void>(resolve => {
					const check = ({unsettled}: RequestsState) => {
						if (unsettled === 0) {
							stopChecking();
							resolve();
						}
					};

					const stopChecking = requests.subscribe(check);
					check(requests.read());
				});
			},
		});
		const stopGauge = requests.subscribe(({unsettled}) => {
			context.counters.setGauge('requests-in-flight', unsettled);
		});
		return () => {
			stopGauge();
			requests.stop();
		};
	},
});

type Start = Extract<RequestsEffect, {kind: 'start'}> & Readonly<{owner: string}>;

function startInFlightRequest({number, work, isRetry, mayForward, owner}: Start, context: EntryContext, send: (message: RequestsMessage) => void, onSettled: () => void): RequestHandle {
	const {requestId, plan} = work;
	const startedAt = context.clock.monotonic();
	return startRequestTask({
		work, isRetry, mayForward, owner: `${owner}/${number}`,
	}, context, {
		onAnswered(outcome) {
			context.counters.countEvent(`outcome-${outcome.kind}`);
			context.counters.recordLatency('request', context.clock.monotonic() - startedAt);
			send({
				kind: 'answered', requestId, number, outcome, bytes: calculateOutcomeBytes(outcome),
			});
		},
		onRecorded(outcome) {
			send({
				kind: 'recorded', requestId, number, outcome, bytes: calculateOutcomeBytes(outcome),
			});
		},
		onCancelRefused() {
			send({kind: 'cancel-refused', requestId, number});
		},
		onRetryRequested(reason) {
			context.counters.countRetry(reason);
			send({kind: 'request-retry', number, plan});
		},
		onSettled() {
			onSettled();
			send({kind: 'settled', plan});
		},
	});
}

function calculateOutcomeBytes(outcome: Outcome): number {
	return JSON.stringify(outcome).length;
}
