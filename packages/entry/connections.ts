import {assertNever, type Step, type WorkerId} from '#core';
import type {RpcPeer} from '#transport';

/** Connections to agents, by worker, and the other way round. */
export type ConnectionState = Readonly<{
	peers: ReadonlyMap<WorkerId, RpcPeer>;
	workers: ReadonlyMap<RpcPeer, WorkerId>;
	/** Entries of the zone as each agent was last told, as JSON; told again only after a change. */
	told: ReadonlyMap<RpcPeer, string>;
}>;

export type ConnectionMessage =
	| Readonly<{kind: 'opened'; worker: WorkerId; peer: RpcPeer}>
	| Readonly<{kind: 'closed'; worker: WorkerId; peer: RpcPeer}>
	| Readonly<{kind: 'told-entries'; peer: RpcPeer; text: string}>;

export const initialConnectionState: ConnectionState = {peers: new Map(), workers: new Map(), told: new Map()};

/** Keeps the open connection of each agent. */
export function receiveConnectionMessage(state: ConnectionState, message: ConnectionMessage): Step<ConnectionState, never> {
	switch (message.kind) {
		case 'opened': {
			return {state: indexPeers(new Map(state.peers).set(message.worker, message.peer), state.told), effects: []};
		}

		case 'closed': {
			if (state.peers.get(message.worker) !== message.peer) {
				return {state, effects: []};
			}

			const peers = new Map(state.peers);
			peers.delete(message.worker);
			return {state: indexPeers(peers, state.told), effects: []};
		}

		case 'told-entries': {
			return {state: {...state, told: new Map(state.told).set(message.peer, message.text)}, effects: []};
		}

		default: {
			return assertNever(message);
		}
	}
}

function indexPeers(peers: ReadonlyMap<WorkerId, RpcPeer>, told: ConnectionState['told']): ConnectionState {
	const workers = new Map([...peers].map(([worker, peer]) => [peer, worker]));
	return {peers, workers, told: new Map([...told].filter(([peer]) => workers.has(peer)))};
}
