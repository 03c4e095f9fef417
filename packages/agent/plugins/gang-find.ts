import {gangFindParametersSchema, type GangFindResult} from '#protocol';
import type {ReservationMessage} from '#reservations';
import {sendToReservations} from '../gangs/services.js';
import {agentPlugins} from '../plugins.js';

agentPlugins.register({
	kind: 'rpc-method',
	name: 'gang.find',
	parametersSchema: gangFindParametersSchema,
	async handle(parameters, context): Promise<GangFindResult> {
		const {job} = parameters as Pick<Extract<ReservationMessage, {kind: 'find'}>, 'job'>;
		const answer = await sendToReservations(context, replyId => ({kind: 'find', job, replyId}));
		return answer.kind === 'found' ? {attempt: answer.attempt, members: answer.members} : {attempt: 0, members: []};
	},
});
