import type {AgentAnswer} from '#core';
import {receiveExecutionMessage, type ExecutionMessage, type ExecutionState} from '#execution';
import {
	createReplyTable, createServiceKey, startTask, type ReplyTable, type TaskHandle,
} from '#kernel';
import {agentPlugins} from '../plugins.js';
import {createWorkerClient} from '../worker-client.js';

/** The task that owns the ledger of request identifiers and the worker's slots. */
export const executionService = createServiceKey<TaskHandle<ExecutionState, ExecutionMessage>>('execution');
export const answersService = createServiceKey<ReplyTable<AgentAnswer>>('answers');

agentPlugins.register({
	kind: 'task',
	name: 'execution',
	start({settings, incarnation, clock, services}) {
		const answers = createReplyTable<AgentAnswer>();
		const workerClient = createWorkerClient(settings['worker-origin'], settings.connections);
		const execution = startTask(
			{name: 'execution', initialState: {incarnation, slots: settings.slots, records: new Map()}, receive: receiveExecutionMessage},
			{
				clock,
				perform(effect, send) {
					switch (effect.kind) {
						case 'reply': {
							answers.answer(effect.replyId, effect.answer);
							break;
						}

						case 'start-task': {
							void (async () => {
								send({kind: 'ended', requestId: effect.work.requestId, result: await workerClient.run(effect.work)});
							})();
						}
					}
				},
			},
		);
		services.provide(answersService, answers);
		services.provide(executionService, execution);
		return () => {
			execution.stop();
		};
	},
});
