import type {RequestId} from '#core';
import {withdrawParametersSchema, type WithdrawResult} from '#protocol';
import {entryPlugins} from '../plugins.js';
import {requestsService} from './requests.js';

entryPlugins.register({
	kind: 'rpc-method',
	name: 'request.withdraw',
	parametersSchema: withdrawParametersSchema,
	/** Withdraws a request that another entry forwarded to this one. */
	async handle(parameters, {services}): Promise<WithdrawResult> {
		const {requestId} = parameters as Readonly<{requestId: RequestId}>;
		const reply = await services.use(requestsService).cancel(requestId);
		switch (reply.kind) {
			// The forwarded call may still arrive, so the request cannot be confirmed as withdrawn.
			case 'running':
			case 'absent': {
				return {kind: 'running'};
			}

			case 'outcome': {
				const {outcome} = reply;
				switch (outcome.kind) {
					case 'completed': {
						return {kind: 'answered', answer: {kind: 'ran', result: outcome.result}};
					}

					case 'not-run': {
						return {kind: 'withdrawn'};
					}

					case 'unknown': {
						return {kind: 'answered', answer: {kind: 'interrupted', reason: outcome.reason}};
					}
				}
			}
		}
	},
});
