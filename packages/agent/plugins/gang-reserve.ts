import {reserveParametersSchema, type ReserveParameters} from '#protocol';
import {toGangAnswer} from '../gangs/answers.js';
import {sendToReservations, recordOwner} from '../gangs/services.js';
import {agentPlugins} from '../plugins.js';

agentPlugins.register({
	kind: 'rpc-method',
	name: 'gang.reserve',
	parametersSchema: reserveParametersSchema,
	async handle(parameters, context, peer) {
		const reservation = parameters as ReserveParameters;
		const answer = await sendToReservations(context, replyId => ({kind: 'reserve', ...reservation, replyId}));
		if (answer.kind !== 'refused') {
			recordOwner(context, [reservation.job], peer);
		}

		return toGangAnswer(answer);
	},
});
