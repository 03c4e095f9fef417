import {assertNever, type JobId, type Step} from '#core';
import type {RpcPeer} from '#transport';

/** Jobs beyond this number are forgotten, the one that was heard of first first. */
const maximumOwners = 1000;

/** The connection over which the owner of each job last spoke. */
export type OwnersState = Readonly<{peers: ReadonlyMap<JobId, RpcPeer>}>;

export type OwnersMessage = Readonly<{kind: 'heard'; jobs: readonly JobId[]; peer: RpcPeer}>;

export const initialOwnersState: OwnersState = {peers: new Map()};

/** Keeps whom to tell when a member of a job ends. */
export function receiveOwnersMessage(state: OwnersState, message: OwnersMessage): Step<OwnersState, never> {
	switch (message.kind) {
		case 'heard': {
			const peers = new Map(state.peers);
			for (const job of message.jobs) {
				peers.delete(job);
				peers.set(job, message.peer);
			}

			const kept = [...peers].slice(-maximumOwners);
			return {state: {peers: new Map(kept)}, effects: []};
		}

		default: {
			return assertNever(message.kind);
		}
	}
}
