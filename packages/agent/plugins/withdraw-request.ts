import {withdrawParametersSchema, type WithdrawResult} from '#protocol';
import type {Incarnation, RequestId} from '#core';
import {agentPlugins} from '../plugins.js';
import {executionRepliesService, executionService} from './execution.js';

agentPlugins.register({
	kind: 'rpc-method',
	name: 'request.withdraw',
	parametersSchema: withdrawParametersSchema,
	async handle(parameters, {services}): Promise<WithdrawResult> {
		const {requestId, incarnation} = parameters as Readonly<{requestId: RequestId; incarnation: Incarnation}>;
		return services.use(executionRepliesService).withdraw.request(replyId => {
			services.use(executionService).send({
				kind: 'withdraw', requestId, incarnation, replyId,
			});
		});
	},
});
