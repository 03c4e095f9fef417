import {reserveParametersSchema, type ReserveParameters} from '#protocol';
import {toGangAnswer} from '../gangs/answers.js';
import {askReservations, rememberOwner} from '../gangs/services.js';
import {agentPlugins} from '../plugins.js';

agentPlugins.register({
	kind: 'rpc-method',
	name: 'gang.reserve',
	parametersSchema: reserveParametersSchema,
	async handle(parameters, context, peer) {
		const reservation = parameters as ReserveParameters;
		const answer = await askReservations(context, replyId => ({kind: 'reserve', ...reservation, replyId}));
		if (answer.kind !== 'refused') {
			rememberOwner(context, [reservation.job], peer);
		}

		return toGangAnswer(answer);
	},
});
