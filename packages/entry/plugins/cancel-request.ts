import * as valibot from 'valibot';
import {requestIdSchema} from '#core';
import {entryPlugins} from '../plugins.js';
import {
	encodeAbsent, encodeFindings, encodeKnownOutcome, encodeInFlight,
} from '../requests/reply.js';
import {requestsService} from './requests.js';

entryPlugins.register({
	kind: 'http-route',
	name: 'cancel-request',
	method: 'DELETE',
	path: '/v1/requests/:requestId',
	async handle({parameters}, {services}) {
		const checked = valibot.safeParse(requestIdSchema, parameters['requestId']);
		if (!checked.success) {
			return encodeFindings([{place: 'requestId', message: 'must be a UUID'}]);
		}

		const reply = await services.use(requestsService).cancel(checked.output);
		switch (reply.kind) {
			case 'outcome': {
				return encodeKnownOutcome(checked.output, reply.outcome);
			}

			// The work has started and continues to completion.
			case 'running': {
				return encodeInFlight(checked.output, 202);
			}

			case 'absent': {
				return encodeAbsent(checked.output);
			}
		}
	},
});
