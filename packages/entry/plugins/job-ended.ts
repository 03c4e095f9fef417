import {JSONRPCErrorException} from 'json-rpc-2.0';
import {endedParametersSchema, type EndedParameters} from '#protocol';
import {jobsService} from '../jobs/service.js';
import {entryPlugins} from '../plugins.js';

const notOwnerCode = -32_001;

entryPlugins.register({
	kind: 'rpc-method',
	name: 'gang.ended',
	parametersSchema: endedParametersSchema,
	async handle(parameters, {services}) {
		const {job, attempt, member, state} = parameters as EndedParameters;
		const driver = services.use(jobsService).find(job);
		if (driver === undefined) {
			// The agent keeps the end until the owner asks for it.
			throw new JSONRPCErrorException('this entry does not own the job', notOwnerCode);
		}

		driver.send({
			kind: 'ended', attempt, member, state,
		});
		return {};
	},
});
