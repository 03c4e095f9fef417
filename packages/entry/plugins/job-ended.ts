import {JSONRPCErrorException} from 'json-rpc-2.0';
import {checkInput, type JobId} from '#core';
import {endedParametersSchema, type EndedParameters} from '#protocol';
import {isTerminal, jobKey, jobRecordSchema} from '#recovery';
import {jobsService} from '../jobs/service.js';
import {entryPlugins} from '../plugins.js';
import type {EntryContext} from '../types.js';
import {storeService} from './store.js';

const notOwnerCode = -32_001;

entryPlugins.register({
	kind: 'rpc-method',
	name: 'gang.ended',
	parametersSchema: endedParametersSchema,
	async handle(parameters, {services}) {
		const {job, attempt, member, state} = parameters as EndedParameters;
		const driver = services.use(jobsService).find(job);
		if (driver === undefined) {
			if (await hasEnded(job, services)) {
				return {};
			}

			// The agent retains the end until the owner queries it.
			throw new JSONRPCErrorException('this entry does not own the job', notOwnerCode);
		}

		driver.send({
			kind: 'ended', attempt, member, state,
		});
		return {};
	},
});

/** Whether the job has ended, in which case the agent need not report the end again. */
async function hasEnded(job: JobId, services: EntryContext['services']): Promise<boolean> {
	const reply = await services.use(storeService).read(jobKey(job));
	const checked = reply.kind === 'found' ? checkInput(jobRecordSchema, reply.stored.value) : undefined;
	return reply.kind === 'absent' || (checked?.kind === 'valid' && isTerminal(checked.value));
}
