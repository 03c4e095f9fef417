import {type AgentAnswer, type RequestWork, type RunResult} from '#core';
import {receiveExecutionMessage, type ExecutionMessage, type ExecutionState} from '#execution';
import {
	createReplyTable, createServiceKey, startTask, type ReplyTable, type TaskHandle,
} from '#kernel';
import {agentPlugins} from '../plugins.js';
import {workerClientService} from './worker-client.js';
import type {WorkerClient} from '../worker-types.js';

/** The task that owns the ledger of request identifiers and the worker's slots. */
export const executionService = createServiceKey<TaskHandle<ExecutionState, ExecutionMessage>>('execution');
export const answersService = createServiceKey<ReplyTable<AgentAnswer>>('answers');

agentPlugins.register({
	kind: 'task',
	name: 'execution',
	start({settings, incarnation, clock, services}) {
		const workerClient = services.use(workerClientService);
		const answers = createReplyTable<AgentAnswer>();
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
								send({kind: 'ended', requestId: effect.work.requestId, result: await runTask(workerClient, effect.work)});
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

const leaseMilliseconds = 10_000;

async function runTask(client: WorkerClient, work: RequestWork): Promise<Pick<RunResult, 'status' | 'body'>> {
	const {requestId: taskId, kind, payload} = work;
	await client.start({
		taskId, kind, payload, accelerators: [], leaseMilliseconds,
	});
	const end = await client.waitForEnd(taskId, leaseMilliseconds);
	return end.kind === 'ended' && end.task.state === 'succeeded' ? {status: 'succeeded', body: end.task.body} : {status: 'failed', body: undefined};
}
