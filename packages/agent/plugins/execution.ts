import type {AgentAnswer} from '#core';
import {
	createExecutionSettings, createExecutionState, receiveExecutionMessage, type ExecutionEffect, type ExecutionMessage, type ExecutionState, type FoundState,
	type WithdrawalResult,
} from '#execution';
import {
	createPendingReplies, createServiceKey, startTask, type PendingReplies, type TaskHandle,
} from '#kernel';
import {agentPlugins} from '../plugins.js';
import {runTask} from '../run-task.js';
import {drainService} from './drain.js';
import {sliceService} from './slice.js';
import {workerClientService} from './worker-client.js';

/** Task that owns the ledger of request identifiers and the worker's slots. */
export const executionService = createServiceKey<TaskHandle<ExecutionState, ExecutionMessage>>('execution');

/** Pending replies of the execution task. */
export type ExecutionReplies = Readonly<{
	run: PendingReplies<AgentAnswer>;
	find: PendingReplies<FoundState>;
	withdraw: PendingReplies<WithdrawalResult>;
}>;

export const executionRepliesService = createServiceKey<ExecutionReplies>('execution-replies');

agentPlugins.register({
	kind: 'task',
	name: 'execution',
	start({settings, incarnation, clock, counters, log, services}) {
		const workerClient = services.use(workerClientService);
		const replies: ExecutionReplies = {
			run: createPendingReplies(), find: createPendingReplies(), withdraw: createPendingReplies(),
		};
		const execution = startTask<ExecutionState, ExecutionMessage, ExecutionEffect>(
			{name: 'execution', initialState: createExecutionState(createExecutionSettings(incarnation, settings.slots)), receive: receiveExecutionMessage},
			{
				clock,
				perform(effect, send) {
					switch (effect.kind) {
						case 'answer-run': {
							replies.run.resolve(effect.replyId, effect.answer);
							break;
						}

						case 'answer-find': {
							replies.find.resolve(effect.replyId, effect.found);
							break;
						}

						case 'answer-withdraw': {
							replies.withdraw.resolve(effect.replyId, effect.result);
							break;
						}

						case 'start-task': {
							void (async () => {
								send(await runTask(workerClient, effect.work));
							})();

							break;
						}

						case 'count-refusal': {
							counters.countRefusal(effect.reason);
							break;
						}

						case 'schedule-tick': {
							clock.schedule(effect.delay, () => {
								send({kind: 'tick'});
							});
							break;
						}

						case 'report-drained': {
							log.withPrefix('execution').info({}, 'last request was answered');
						}
					}
				},
			},
		);
		services.provide(executionRepliesService, replies);
		services.provide(executionService, execution);
		services.use(drainService).add(async () => new Promise<void>(resolve => {
			const unsubscribeDrain = execution.subscribe(({phase}) => {
				if (phase === 'drained') {
					unsubscribeDrain();
					resolve();
				}
			});
			execution.send({kind: 'drain'});
		}));
		const unsubscribe = services.use(sliceService).subscribe(({current}) => {
			if (current !== undefined) {
				execution.send({kind: 'slice-received', limits: new Map(current.plans.map(({plan, ...limit}) => [plan, limit]))});
			}
		});
		execution.send({kind: 'tick'});
		return () => {
			unsubscribe();
			execution.stop();
		};
	},
});
