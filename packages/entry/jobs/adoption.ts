import {
	assertNever, hashText, type EntryId, type JobId, type Step,
} from '#core';
import {minimumMissingRounds, fullSearchIntervalRounds, maximumAdoptionsPerRound} from './constants.js';
import type {OwnershipKey} from './ownership.js';

/** A marker of a job's owner, as found in the store. */
export type StoredOwnership = OwnershipKey & Readonly<{cancelRequested: boolean; version: number}>;

export type AdoptionState = Readonly<{
	self: EntryId;
	round: number;
	/** Owners of jobs in this zone, and for how many rounds each has been missing. */
	missingRounds: ReadonlyMap<EntryId, number>;
	/** Jobs of this entry that had no driver in the last search. */
	orphans: ReadonlySet<JobId>;
}>;

export type AdoptionMessage =
	/** `registered` is undefined until the store was read. */
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

/** Decides which jobs an entry adopts: those of owners that are gone, and its own from before a restart. */
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
	const missing = new Map([...owners].map(owner => [owner, registered.has(owner) ? 0 : (state.missingRounds.get(owner) ?? 0) + 1] as const));
	const isDue = state.round < minimumMissingRounds || state.round % fullSearchIntervalRounds === 0 || [...missing.values()].some(rounds => rounds >= minimumMissingRounds);
	return {
		state: {...state, round: state.round + 1, missingRounds: missing},
		effects: [...(isDue ? [{kind: 'search'} as const] : []), {kind: 'schedule-tick'}],
	};
}

function selectAdoptions(state: AdoptionState, {found, driven}: Extract<AdoptionMessage, {kind: 'searched'}>): Step<AdoptionState, AdoptionEffect> {
	const {self, orphans, missingRounds: missing} = state;
	const ownOrphans = found.filter(({owner, job}) => owner === self && !driven.has(job));
	const left = found.filter(({owner}) => owner !== self && (missing.get(owner) ?? 0) >= minimumMissingRounds);
	const adopted = [...ownOrphans.filter(({job}) => orphans.has(job)), ...left]
		// Entries that search at once begin with different jobs.
		.toSorted((one, other) => hashText(self + one.job) - hashText(self + other.job))
		.slice(0, maximumAdoptionsPerRound);
	// Owners without jobs need not be watched; owners that were never seen registered count as missing from now on.
	const owners = new Set(found.map(({owner}) => owner));
	const watched = new Map([...missing].filter(([owner, rounds]) => rounds < minimumMissingRounds || owners.has(owner)));
	for (const owner of owners) {
		watched.set(owner, watched.get(owner) ?? 0);
	}

	watched.delete(self);
	return {
		state: {...state, missingRounds: watched, orphans: new Set(ownOrphans.map(({job}) => job))},
		effects: adopted.map(ownership => ({kind: 'adopt', ownership})),
	};
}
