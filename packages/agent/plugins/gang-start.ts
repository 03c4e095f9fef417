import {startParametersSchema, type StartParameters} from '#protocol';
import {toGangAnswer} from '../gangs/answers.js';
import {sendToReservations, recordOwner} from '../gangs/services.js';
import {agentPlugins} from '../plugins.js';

agentPlugins.register({
	kind: 'rpc-method',
	name: 'gang.start',
	parametersSchema: startParametersSchema,
	async handle(parameters, context, peer) {
		const {kind: operation, job, attempt, payload, checkpoints, leaseMilliseconds} = parameters as StartParameters;
		const answer = await sendToReservations(context, replyId => ({
			kind: 'start', operation, job, attempt, payload, checkpoints, leaseMilliseconds, replyId,
		}));
		if (answer.kind !== 'refused') {
			recordOwner(context, [job], peer);
		}

		return toGangAnswer(answer);
	},
});
