import {commitParametersSchema, type CommitParameters} from '#protocol';
import {toGangAnswer} from '../gangs/answers.js';
import {sendToReservations} from '../gangs/services.js';
import {agentPlugins} from '../plugins.js';

agentPlugins.register({
	kind: 'rpc-method',
	name: 'gang.commit',
	parametersSchema: commitParametersSchema,
	async handle(parameters, context) {
		return toGangAnswer(await sendToReservations(context, replyId => ({kind: 'commit', ...parameters as CommitParameters, replyId})));
	},
});
