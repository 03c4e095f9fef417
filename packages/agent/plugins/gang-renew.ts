import {renewParametersSchema, type RenewParameters, type RenewResult} from '#protocol';
import {askReservations, rememberOwner} from '../gangs/services.js';
import {agentPlugins} from '../plugins.js';

agentPlugins.register({
	kind: 'rpc-method',
	name: 'gang.renew',
	parametersSchema: renewParametersSchema,
	async handle(parameters, context, peer): Promise<RenewResult> {
		const renewal = parameters as RenewParameters;
		const answer = await askReservations(context, replyId => ({kind: 'renew', ...renewal, replyId}));
		const lapsed = answer.kind === 'renewed' ? answer.lapsed : renewal.gangs;
		const lost = new Set(lapsed.map(({job}) => job));
		rememberOwner(context, renewal.gangs.map(({job}) => job).filter(job => !lost.has(job)), peer);
		return {lapsed};
	},
});
