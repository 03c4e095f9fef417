import {runParametersSchema, type RunParameters} from '#protocol';
import {agentPlugins} from '../plugins.js';
import {answersService, executionService} from './execution.js';

agentPlugins.register({
	kind: 'rpc-method',
	name: 'request.run',
	parametersSchema: runParametersSchema,
	async handle(parameters, {services}) {
		const {work, serviceClass, incarnation} = parameters as RunParameters;
		return services.use(answersService).ask(replyId => {
			services.use(executionService).send({
				kind: 'run', work, serviceClass, incarnation, replyId,
			});
		});
	},
});
