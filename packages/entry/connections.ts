import {assertNever, type Step, type WorkerId} from '#core';
import type {RpcPeer} from '#transport';

/** Connections to agents, indexed by worker and by connection. */
export type ConnectionState = Readonly<{
	peers: ReadonlyMap<WorkerId, RpcPeer>;
	workers: ReadonlyMap<RpcPeer, WorkerId>;
	/** List of the zone's entries last sent to each agent, as JSON; sent again only after a change. */
	sentEntries: ReadonlyMap<RpcPeer, string>;
}>;

export type ConnectionMessage =
	| Readonly<{kind: 'opened'; worker: WorkerId; peer: RpcPeer}>
	| Readonly<{kind: 'closed'; worker: WorkerId; peer: RpcPeer}>
	| Readonly<{kind: 'entries-sent'; peer: RpcPeer; text: string}>;

export const initialConnectionState: ConnectionState = {peers: new Map(), workers: new Map(), sentEntries: new Map()};

/** Tracks the open connection of each agent. */
export function receiveConnectionMessage(state: ConnectionState, message: ConnectionMessage): Step<ConnectionState, never> {
	switch (message.kind) {
		case 'opened': {
			return {state: indexPeers(new Map(state.peers).set(message.worker, message.peer), state.sentEntries), effects: []};
		}

		case 'closed': {
			if (state.peers.get(message.worker) !== message.peer) {
				return {state, effects: []};
			}

			const peers = new Map(state.peers);
			peers.delete(message.worker);
			return {state: indexPeers(peers, state.sentEntries), effects: []};
		}

		case 'entries-sent': {
			return {state: {...state, sentEntries: new Map(state.sentEntries).set(message.peer, message.text)}, effects: []};
		}

		default: {
			return assertNever(message);
		}
	}
}

function indexPeers(peers: ReadonlyMap<WorkerId, RpcPeer>, sentEntries: ConnectionState['sentEntries']): ConnectionState {
	const workers = new Map([...peers].map(([worker, peer]) => [peer, worker]));
	return {peers, workers, sentEntries: new Map([...sentEntries].filter(([peer]) => workers.has(peer)))};
}
