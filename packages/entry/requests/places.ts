import type {
	Milliseconds, Place, WorkerId,
} from '#core';
import {createQueueSettings} from '#limits';
import {isAvailable} from '#membership';
import {
	noLoad, readShare, type Candidate, type CandidateSource,
} from '#routing';
import type {RpcPeer} from '#transport';
import {connectionsService} from '../plugins/connections.js';
import {membershipService} from '../plugins/membership.js';
import {routingService} from '../plugins/routing.js';
import type {EntryContext} from '../types.js';

/** Provides the workers of this zone that can accept a request by index, without building a list. */
export function createCandidateSource({services, clock}: EntryContext, excluded: readonly WorkerId[]): CandidateSource {
	const {available} = services.use(membershipService).read();
	const {peers} = services.use(connectionsService).read();
	const {health, loads} = services.use(routingService).read();
	const monotonic = clock.monotonic();
	return {
		count: available.length,
		at(index): Candidate | undefined {
			const agent = available[index];
			if (agent === undefined || excluded.includes(agent.worker) || !isAvailable(agent, monotonic) || !peers.has(agent.worker)) {
				return undefined;
			}

			const share = readShare(health, agent.worker, monotonic);
			const {outstanding, others} = loads.get(agent.worker) ?? {outstanding: noLoad, others: noLoad};
			const {slots} = agent.capacity;
			return share === 0
				? undefined
				: {
					worker: agent.worker, slots, longSlots: slots - createQueueSettings(slots).reservedForShort, outstanding, others, share,
				};
		},
	};
}

export type PlaceConnection =
	| Readonly<{kind: 'connected'; peer: RpcPeer}>
	/** The agent may reconnect with the same incarnation. */
	| Readonly<{kind: 'disconnected'}>
	/** The worker's agent runs as another incarnation. */
	| Readonly<{kind: 'replaced'}>;

/** Finds the open connection to one incarnation of an agent. */
export function findConnection({services}: EntryContext, {worker, incarnation}: Place): PlaceConnection {
	const agent = services.use(membershipService).read().agents.get(worker);
	const peer = services.use(connectionsService).read().peers.get(worker);
	if (agent !== undefined && agent.incarnation !== incarnation) {
		return {kind: 'replaced'};
	}

	return agent !== undefined && peer?.isOpen() === true ? {kind: 'connected', peer} : {kind: 'disconnected'};
}

/** Waits for the next connection of the same incarnation; returns `undefined` if it was replaced or did not reconnect in time. */
export async function waitForConnection(context: EntryContext, place: Place, timeout: Milliseconds): Promise<RpcPeer | undefined> {
	const found = findConnection(context, place);
	if (found.kind !== 'disconnected') {
		return found.kind === 'connected' ? found.peer : undefined;
	}

	return new Promise(resolve => {
		const finish = (peer: RpcPeer | undefined) => {
			stopListening();
			stopTimer();
			resolve(peer);
		};

		const stopListening = context.services.use(connectionsService).subscribe(() => {
			const current = findConnection(context, place);
			if (current.kind !== 'disconnected') {
				finish(current.kind === 'connected' ? current.peer : undefined);
			}
		});
		const stopTimer = context.clock.schedule(timeout, () => {
			finish(undefined);
		});
	});
}
