import {renewParametersSchema, type RenewParameters, type RenewResult} from '#protocol';
import {sendToReservations, recordOwner} from '../gangs/services.js';
import {agentPlugins} from '../plugins.js';

agentPlugins.register({
	kind: 'rpc-method',
	name: 'gang.renew',
	parametersSchema: renewParametersSchema,
	async handle(parameters, context, peer): Promise<RenewResult> {
		const renewal = parameters as RenewParameters;
		const answer = await sendToReservations(context, replyId => ({kind: 'renew', ...renewal, replyId}));
		const lapsed = answer.kind === 'renewed' ? answer.lapsed : renewal.gangs;
		const lost = new Set(lapsed.map(({job}) => job));
		recordOwner(context, renewal.gangs.map(({job}) => job).filter(job => !lost.has(job)), peer);
		return {lapsed, ended: answer.kind === 'renewed' ? answer.ended : []};
	},
});
