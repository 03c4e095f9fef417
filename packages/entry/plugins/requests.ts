import {randomUUID} from 'node:crypto';
import type {Outcome, RequestId, RequestWork} from '#core';
import {
	createPendingReplies, createServiceKey, startTask, type TaskHandle,
} from '#kernel';
import {entryPlugins} from '../plugins.js';
import {startRequest, type RequestHandle} from '../requests/run.js';
import {digestOf, initialRequestsState, receiveRequestsMessage} from '../requests/table.js';
import type {
	CancelReply, RequestsEffect, RequestsMessage, RequestsState, SubmitOptions, SubmitReply,
} from '../requests/types.js';
import type {EntryContext} from '../types.js';

export type RequestsService = Readonly<{
	/** Runs a request, or joins the run of its identifier. The signal says that the caller went away. */
	submit(work: RequestWork, options: SubmitOptions, signal?: AbortSignal): Promise<SubmitReply>;
	cancel(requestId: RequestId): Promise<CancelReply>;
	read(): RequestsState;
	/** Resolves once no request is in flight, those included that other entries forwarded. */
	settled(): Promise<void>;
}>;

/** The task that owns the requests of this entry. */
export const requestsService = createServiceKey<RequestsService>('requests');

entryPlugins.register({
	kind: 'task',
	name: 'requests',
	start(context) {
		const submits = createPendingReplies<SubmitReply>();
		const cancels = createPendingReplies<CancelReply>();
		const running = new Map<number, RequestHandle>();
		const owner = `${context.settings.entry}/${randomUUID().slice(0, 8)}`;
		const requests: TaskHandle<RequestsState, RequestsMessage> = startTask(
			{name: 'requests', initialState: initialRequestsState, receive: receiveRequestsMessage},
			{
				clock: context.clock,
				perform(effect, send) {
					switch (effect.kind) {
						case 'start': {
							const run = startRun({...effect, owner}, context, send, () => {
								running.delete(effect.number);
							});
							if (run.read().phase.kind !== 'concluded') {
								running.set(effect.number, run);
							}

							break;
						}

						case 'send': {
							running.get(effect.number)?.send(effect.message);
							break;
						}

						case 'decide-retry': {
							running.get(effect.number)?.send(effect.isAllowed ? {kind: 'retry-granted', jitter: context.random()} : {kind: 'retry-denied'});
							break;
						}

						case 'reply-submit': {
							submits.resolve(effect.replyId, effect.reply);
							break;
						}

						case 'reply-cancel': {
							cancels.resolve(effect.replyId, effect.reply);
							break;
						}
					}
				},
			},
		);
		context.services.provide(requestsService, {
			submit: async (work, options, signal) => submits.request(replyId => {
				requests.send({
					kind: 'submit', work, digest: digestOf(work), options, replyId,
				});
				signal?.addEventListener('abort', () => {
					requests.send({kind: 'left', requestId: work.requestId, replyId});
				}, {once: true});
			}),
			cancel: async requestId => cancels.request(replyId => {
				requests.send({kind: 'cancel', requestId, replyId});
			}),
			read: requests.read,
			async settled() {
				await new Promise<void>(resolve => {
					const check = ({total}: RequestsState) => {
						if (total === 0) {
							stopChecking();
							resolve();
						}
					};

					const stopChecking = requests.subscribe(check);
					check(requests.read());
				});
			},
		});
		const stopGauge = requests.subscribe(({total}) => {
			context.counters.setGauge('requests-in-flight', total);
		});
		return () => {
			stopGauge();
			requests.stop();
		};
	},
});

type Start = Extract<RequestsEffect, {kind: 'start'}> & Readonly<{owner: string}>;

function startRun({number, work, isRetry, mayForward, owner}: Start, context: EntryContext, send: (message: RequestsMessage) => void, onSettled: () => void): RequestHandle {
	const {requestId, plan} = work;
	const startedAt = context.clock.monotonic();
	return startRequest({
		work, isRetry, mayForward, owner: `${owner}/${number}`,
	}, context, {
		onAnswered(outcome) {
			context.counters.countEvent(`outcome-${outcome.kind}`);
			context.counters.recordLatency('request', context.clock.monotonic() - startedAt);
			send({
				kind: 'answered', requestId, number, outcome, bytes: sizeOf(outcome),
			});
		},
		onRecorded(outcome) {
			send({
				kind: 'recorded', requestId, number, outcome, bytes: sizeOf(outcome),
			});
		},
		onCancelRefused() {
			send({kind: 'cancel-refused', requestId, number});
		},
		onRetryAsked(reason) {
			context.counters.countRetry(reason);
			send({kind: 'ask-retry', number, plan});
		},
		onSettled() {
			onSettled();
			send({kind: 'settled', plan});
		},
	});
}

function sizeOf(outcome: Outcome): number {
	return JSON.stringify(outcome).length;
}
