import type {AgentAnswer} from '#core';
import {forwardParametersSchema, type ForwardParameters} from '#protocol';
import {checkIdentifier} from '#recovery';
import {entryPlugins} from '../plugins.js';
import type {SubmitReply} from '../requests/types.js';
import {submitRequest} from './run-request.js';

entryPlugins.register({
	kind: 'rpc-method',
	name: 'peer.forward',
	parametersSchema: forwardParametersSchema,
	async handle(parameters, context): Promise<AgentAnswer> {
		const {work, hops} = parameters as ForwardParameters;
		// A forwarded request is not forwarded again, so that requests cannot loop between zones that are all full.
		if (hops > 1) {
			return {kind: 'refused', reason: 'no-worker-available'};
		}

		if (!work.idempotent) {
			const check = checkIdentifier(work.requestId, context.clock.now());
			if (check.kind !== 'accepted') {
				return {kind: 'refused', reason: check.kind === 'refused' ? check.reason : 'invalid-request'};
			}
		}

		// The sending entry knows whether the caller submitted the identifier before, and interprets a refusal accordingly.
		return encodeAnswer(await submitRequest(work, {isRetry: false, mayForward: false}, context));
	},
});

function encodeAnswer(reply: SubmitReply): AgentAnswer {
	if (reply.kind === 'refused') {
		return reply.reason === 'identifier-reused' ? {kind: 'interrupted', reason: reply.reason} : reply;
	}

	const {outcome} = reply;
	switch (outcome.kind) {
		case 'completed': {
			return {kind: 'ran', result: outcome.result};
		}

		case 'not-run': {
			return {...outcome, kind: 'refused'};
		}

		case 'unknown': {
			return {kind: 'interrupted', reason: outcome.reason};
		}
	}
}
