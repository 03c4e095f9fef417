import {leavingParametersSchema} from '#protocol';
import type {Incarnation, WorkerId} from '#core';
import {entryPlugins} from '../plugins.js';
import {membershipService} from './membership.js';

entryPlugins.register({
	kind: 'rpc-method',
	name: 'agent.leaving',
	parametersSchema: leavingParametersSchema,
	async handle(parameters, {services, log}) {
		const {worker, incarnation} = parameters as Readonly<{worker: WorkerId; incarnation: Incarnation}>;
		services.use(membershipService).send({kind: 'leaving', worker, incarnation});
		log.withPrefix('membership').info({worker}, 'agent is leaving');
		return {};
	},
});
