import {
	assertNever, hashText, type EntryId, type JobId, type Step,
} from '#core';
import {minimumMissingRounds, fullSearchIntervalRounds, maximumAdoptionsPerRound} from './constants.js';
import type {OwnershipKey} from './ownership.js';

/** An ownership marker as read from the store. */
export type StoredOwnership = OwnershipKey & Readonly<{cancelRequested: boolean; version: number}>;

export type AdoptionState = Readonly<{
	self: EntryId;
	round: number;
	/** Number of rounds for which each owner of jobs in this zone has been missing. */
	missingRounds: ReadonlyMap<EntryId, number>;
	/** Jobs of this entry that had no driver at the last search. */
	orphans: ReadonlySet<JobId>;
}>;

export type AdoptionMessage =
	/** `registered` is undefined until the entries have been read, and while this entry has no valid lease. */
	| Readonly<{kind: 'tick'; registered: ReadonlySet<EntryId> | undefined}>
	| Readonly<{kind: 'searched'; found: readonly StoredOwnership[]; driven: ReadonlySet<JobId>}>;

export type AdoptionEffect =
	| Readonly<{kind: 'search'}>
	| Readonly<{kind: 'adopt'; ownership: StoredOwnership}>
	| Readonly<{kind: 'schedule-tick'}>;

export function createAdoptionState(self: EntryId): AdoptionState {
	return {
		self, round: 0, missingRounds: new Map(), orphans: new Set(),
	};
}

/** Decides which jobs an entry adopts: jobs of missing owners, and its own from before a restart. */
export function receiveAdoptionMessage(state: AdoptionState, message: AdoptionMessage): Step<AdoptionState, AdoptionEffect> {
	switch (message.kind) {
		case 'tick': {
			return updateMissingOwners(state, message.registered);
		}

		case 'searched': {
			return selectAdoptions(state, message);
		}

		default: {
			return assertNever(message);
		}
	}
}

function updateMissingOwners(state: AdoptionState, registered: ReadonlySet<EntryId> | undefined): Step<AdoptionState, AdoptionEffect> {
	if (registered === undefined) {
		return {state, effects: [{kind: 'schedule-tick'}]};
	}

	const owners = new Set([...state.missingRounds.keys(), ...registered]);
	const missingRounds = new Map([...owners].map(owner => [owner, registered.has(owner) ? 0 : (state.missingRounds.get(owner) ?? 0) + 1] as const));
	const isSearchDue = state.round < minimumMissingRounds || state.round % fullSearchIntervalRounds === 0 || [...missingRounds.values()].some(rounds => rounds >= minimumMissingRounds);
	return {
		state: {...state, round: state.round + 1, missingRounds},
		effects: [...(isSearchDue ? [{kind: 'search'} as const] : []), {kind: 'schedule-tick'}],
	};
}

function selectAdoptions(state: AdoptionState, {found, driven}: Extract<AdoptionMessage, {kind: 'searched'}>): Step<AdoptionState, AdoptionEffect> {
	const {self, orphans, missingRounds} = state;
	const ownOrphans = found.filter(({owner, job}) => owner === self && !driven.has(job));
	const abandoned = found.filter(({owner}) => owner !== self && (missingRounds.get(owner) ?? 0) >= minimumMissingRounds);
	const selected = [...ownOrphans.filter(({job}) => orphans.has(job)), ...abandoned]
		// Each entry sorts differently, so that entries that search at the same time start with different jobs.
		.toSorted((a, b) => hashText(self + a.job) - hashText(self + b.job))
		.slice(0, maximumAdoptionsPerRound);
	// Missing owners without jobs are dropped; owners that were never seen registered are tracked from now on.
	const owners = new Set(found.map(({owner}) => owner));
	const tracked = new Map([...missingRounds].filter(([owner, rounds]) => rounds < minimumMissingRounds || owners.has(owner)));
	for (const owner of owners) {
		tracked.set(owner, tracked.get(owner) ?? 0);
	}

	tracked.delete(self);
	return {
		state: {...state, missingRounds: tracked, orphans: new Set(ownOrphans.map(({job}) => job))},
		effects: selected.map(ownership => ({kind: 'adopt', ownership})),
	};
}
