import {findParametersSchema, type FindResult} from '#protocol';
import type {RequestId} from '#core';
import {agentPlugins} from '../plugins.js';
import {deliveriesService} from './deliveries.js';
import {executionRepliesService, executionService} from './execution.js';

agentPlugins.register({
	kind: 'rpc-method',
	name: 'request.find',
	parametersSchema: findParametersSchema,
	async handle(parameters, {services}): Promise<FindResult> {
		const {requestId} = parameters as Readonly<{requestId: RequestId}>;
		const found = await services.use(executionRepliesService).find.request(replyId => {
			services.use(executionService).send({kind: 'find', requestId, replyId});
		});
		if (found.kind === 'answered') {
			services.use(deliveriesService).send({kind: 'delivered', requestId});
		}

		return found;
	},
});
