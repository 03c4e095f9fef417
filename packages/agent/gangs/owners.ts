import {assertNever, type JobId, type Step} from '#core';
import type {RpcPeer} from '#transport';

/** Maximum number of jobs with a recorded owner; the least recently updated one is evicted first. */
const maximumOwners = 1000;

/** Connection on which each job's owner sent its latest accepted message. */
export type OwnersState = Readonly<{peers: ReadonlyMap<JobId, RpcPeer>}>;

export type OwnersMessage = Readonly<{kind: 'owner-contacted'; jobs: readonly JobId[]; peer: RpcPeer}>;

export const initialOwnersState: OwnersState = {peers: new Map()};

/** Tracks the connections on which jobs' owners are notified of ended gang members. */
export function receiveOwnersMessage(state: OwnersState, message: OwnersMessage): Step<OwnersState, never> {
	switch (message.kind) {
		case 'owner-contacted': {
			const peers = new Map(state.peers);
			for (const job of message.jobs) {
				peers.delete(job);
				peers.set(job, message.peer);
			}

			const retained = [...peers].slice(-maximumOwners);
			return {state: {peers: new Map(retained)}, effects: []};
		}

		default: {
			return assertNever(message.kind);
		}
	}
}
