import {assertNever, type Step, type WorkerId} from '#core';
import type {RpcPeer} from '#transport';

/** Connections to agents, by worker. */
export type ConnectionState = Readonly<{peers: ReadonlyMap<WorkerId, RpcPeer>}>;

export type ConnectionMessage =
	| Readonly<{kind: 'opened'; worker: WorkerId; peer: RpcPeer}>
	| Readonly<{kind: 'closed'; worker: WorkerId; peer: RpcPeer}>;

export const initialConnectionState: ConnectionState = {peers: new Map()};

/** Keeps the open connection of each agent. */
export function receiveConnectionMessage(state: ConnectionState, message: ConnectionMessage): Step<ConnectionState, never> {
	switch (message.kind) {
		case 'opened': {
			return {state: {peers: new Map(state.peers).set(message.worker, message.peer)}, effects: []};
		}

		case 'closed': {
			if (state.peers.get(message.worker) !== message.peer) {
				return {state, effects: []};
			}

			const peers = new Map(state.peers);
			peers.delete(message.worker);
			return {state: {peers}, effects: []};
		}

		default: {
			return assertNever(message);
		}
	}
}
