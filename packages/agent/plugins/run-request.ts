import {runParametersSchema, type RunParameters} from '#protocol';
import {agentPlugins} from '../plugins.js';
import {deliveriesService} from './deliveries.js';
import {executionRepliesService, executionService} from './execution.js';

agentPlugins.register({
	kind: 'rpc-method',
	name: 'request.run',
	parametersSchema: runParametersSchema,
	async handle(parameters, {services, counters}, peer) {
		const {work, serviceClass, estimatedMilliseconds, incarnation} = parameters as RunParameters;
		const answer = await services.use(executionRepliesService).run.request(replyId => {
			services.use(executionService).send({
				kind: 'run', work, serviceClass, estimatedMilliseconds, incarnation, replyId,
			});
		});
		if (answer.kind === 'ran') {
			counters.recordLatency('queue', answer.result.queueMilliseconds);
			counters.recordLatency('service', answer.result.serviceMilliseconds);
		}

		if (!peer.isOpen()) {
			services.use(deliveriesService).send({kind: 'undelivered', requestId: work.requestId});
		}

		return answer;
	},
});
