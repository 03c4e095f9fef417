import {stopParametersSchema, type StopParameters, type StopResult} from '#protocol';
import {sendToReservations} from '../gangs/services.js';
import {agentPlugins} from '../plugins.js';

agentPlugins.register({
	kind: 'rpc-method',
	name: 'gang.stop',
	parametersSchema: stopParametersSchema,
	async handle(parameters, context): Promise<StopResult> {
		const answer = await sendToReservations(context, replyId => ({kind: 'stop', ...parameters as StopParameters, replyId}));
		switch (answer.kind) {
			case 'never-started':
			case 'stopped':
			case 'finished': {
				return answer;
			}

			case 'accepted':
			case 'reclaiming':
			case 'refused':
			case 'renewed':
			case 'found': {
				return {kind: 'stopped', checkpoints: {}};
			}
		}
	},
});
