import type {Place} from '#core';
import type {MethodName} from '#protocol';
import type {MethodParameters, MethodResult} from '#transport';
import {connectionsService} from '../plugins/connections.js';
import {membershipService} from '../plugins/membership.js';
import type {EntryContext} from '../types.js';
import {callTimeoutMilliseconds, stopTimeoutMilliseconds} from './constants.js';
import type {CallFailure} from './driver-types.js';

type GangMethod = Extract<MethodName, `gang.${string}`>;

/** Calls the agent at a place; a different incarnation on that worker is never called. */
export async function callAgent<Name extends GangMethod>(
	context: EntryContext,
	place: Place,
	method: Name,
	parameters: MethodParameters<Name>,
): Promise<Readonly<{kind: 'result'; result: MethodResult<Name>}> | CallFailure> {
	const agent = context.services.use(membershipService).read().agents.get(place.worker);
	if (agent !== undefined && agent.incarnation !== place.incarnation) {
		return {kind: 'gone'};
	}

	const peer = context.services.use(connectionsService).read().peers.get(place.worker);
	const timeout = method === 'gang.stop' ? stopTimeoutMilliseconds : callTimeoutMilliseconds;
	const reply = agent === undefined ? undefined : await peer?.call(method, parameters, timeout);
	return reply?.kind === 'answered' ? {kind: 'result', result: reply.result} : {kind: 'unreachable'};
}
