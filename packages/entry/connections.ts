import {assertNever, type Step, type WorkerId} from '#core';
import type {RpcPeer} from '#transport';

/** Connections to agents, by worker, and the calls that are outstanding on them. */
export type ConnectionState = Readonly<{peers: ReadonlyMap<WorkerId, RpcPeer>; outstanding: ReadonlyMap<WorkerId, number>}>;

export type ConnectionMessage =
	| Readonly<{kind: 'opened'; worker: WorkerId; peer: RpcPeer}>
	| Readonly<{kind: 'closed'; worker: WorkerId; peer: RpcPeer}>
	| Readonly<{kind: 'sent'; worker: WorkerId}>
	| Readonly<{kind: 'answered'; worker: WorkerId}>;

export const initialConnectionState: ConnectionState = {peers: new Map(), outstanding: new Map()};

/** Keeps the open connection of each agent and counts the calls that are outstanding on it. */
export function receiveConnectionMessage(state: ConnectionState, message: ConnectionMessage): Step<ConnectionState, never> {
	switch (message.kind) {
		case 'opened': {
			return {state: {...state, peers: new Map(state.peers).set(message.worker, message.peer)}, effects: []};
		}

		case 'closed': {
			if (state.peers.get(message.worker) !== message.peer) {
				return {state, effects: []};
			}

			const peers = new Map(state.peers);
			peers.delete(message.worker);
			return {state: {...state, peers}, effects: []};
		}

		case 'sent': {
			return addOutstanding(state, message.worker, 1);
		}

		case 'answered': {
			return addOutstanding(state, message.worker, -1);
		}

		default: {
			return assertNever(message);
		}
	}
}

function addOutstanding(state: ConnectionState, worker: WorkerId, change: number): Step<ConnectionState, never> {
	const outstanding = new Map(state.outstanding).set(worker, (state.outstanding.get(worker) ?? 0) + change);
	return {state: {...state, outstanding}, effects: []};
}
