import type {CallerAnswer, CallerRequest} from '#protocol';
import type {RpcPeer} from '#transport';
import {entryCallTimeoutMilliseconds} from '../constants.js';
import type {CoordinatorContext} from '../types.js';

/** Asks other entries in turn; undefined if none of them could serve the call and it certainly had no effect. */
export async function forwardCall(call: CallerRequest, peers: readonly RpcPeer[], {counters}: CoordinatorContext): Promise<CallerAnswer | undefined> {
	for (const peer of peers) {
		const reply = await peer.call('entry.call', call, entryCallTimeoutMilliseconds);
		const isServed = reply.kind === 'answered' && reply.result.kind !== 'refused' && reply.result.kind !== 'undecided';
		counters.countRetry(isServed ? 'forwarded' : 'forward-failed');
		if (isServed) {
			return reply.result;
		}

		// The other entry may have stored the job although its reply was lost.
		if (reply.kind === 'failed' && reply.delivery === 'perhaps-sent' && call.action.kind === 'submit') {
			return {kind: 'undecided', reason: 'another entry did not answer'};
		}

		if (reply.kind === 'answered' && reply.result.kind === 'undecided' && call.action.kind === 'submit') {
			return reply.result;
		}
	}

	return undefined;
}
