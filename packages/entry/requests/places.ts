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

/** Lists the workers of the own zone that may take a request, without building the list. */
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

export type FoundPlace =
	| Readonly<{kind: 'connected'; peer: RpcPeer}>
	/** The worker may come back with the same incarnation. */
	| Readonly<{kind: 'disconnected'}>
	/** Another incarnation runs beside the worker. */
	| Readonly<{kind: 'replaced'}>;

/** Finds the open connection to one incarnation of an agent. */
export function findPlace({services}: EntryContext, {worker, incarnation}: Place): FoundPlace {
	const agent = services.use(membershipService).read().agents.get(worker);
	const peer = services.use(connectionsService).read().peers.get(worker);
	if (agent !== undefined && agent.incarnation !== incarnation) {
		return {kind: 'replaced'};
	}

	return agent !== undefined && peer?.isOpen() === true ? {kind: 'connected', peer} : {kind: 'disconnected'};
}

/** Waits for the next connection of the same incarnation; `undefined` if it is gone or did not come back in time. */
export async function waitForPlace(context: EntryContext, place: Place, limit: Milliseconds): Promise<RpcPeer | undefined> {
	const found = findPlace(context, place);
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
			const present = findPlace(context, place);
			if (present.kind !== 'disconnected') {
				finish(present.kind === 'connected' ? present.peer : undefined);
			}
		});
		const stopTimer = context.clock.schedule(limit, () => {
			finish(undefined);
		});
	});
}
