/** Leader election: the scheduler's record in the store is held under the lease of its entry, and each term has a higher epoch than the one before. */
import {
	assertNever, type EntryId, type Milliseconds, type Step,
} from '#core';
import type {LeaderRecord} from './keys.js';

/** A value with the version of its key. */
export type Versioned<Value> = Readonly<{value: Value; version: number}>;

export type LeadershipState = Readonly<{
	self: EntryId;
	/** Address at which this entry listens; a leader record with it is of this process or of one that ended before. */
	address: string;
	/** Last observed values of the store; undefined before the first observation. */
	view: Readonly<{leader: Versioned<LeaderRecord> | undefined; epoch: Versioned<number> | undefined}> | undefined;
	/** The current term of this entry; undefined while it does not schedule. */
	term: Readonly<{
		epoch: number;
		leaderVersion: number;
		/** Lease of the leader record; the store removes the record with it. */
		lease: string;
		isObserved: boolean;
	}> | undefined;
	lease: string | undefined;
	/** Highest epoch received from the store, agents or entries. */
	highestEpoch: number;
	isElectionScheduled: boolean;
	/** Version of the leader record of the last term that this entry ended; it does not resume that term, since run numbers would repeat. */
	endedVersion: number | undefined;
	hasResigned: boolean;
}>;

type Term = NonNullable<LeadershipState['term']>;

export type LeadershipMessage =
	| Readonly<{kind: 'observed'; leader: Versioned<LeaderRecord> | undefined; epoch: Versioned<number> | undefined}>
	| Readonly<{kind: 'lease-changed'; lease: string | undefined}>
	| Readonly<{kind: 'epoch-observed'; epoch: number}>
	| Readonly<{kind: 'election-due'}>
	| Readonly<{kind: 'election-ended'; outcome: 'won' | 'lost' | 'unknown'; lease: string; epoch: number; version: number}>
	/** The store rejected a conditional write, so another entry is the scheduler. */
	| Readonly<{kind: 'deposed'}>
	/** Another entry can take over the term of this one. */
	| Readonly<{kind: 'hand-over'; reason: string}>
	/** The scheduler ended its term, whose record has the given version, and asks this entry to begin the next one. */
	| Readonly<{kind: 'offered'; epoch: number; leaderVersion: number}>
	| Readonly<{kind: 'resign'}>;

export type LeadershipEffect =
	| Readonly<{kind: 'schedule-election'}>
	/** Replaces the leader record of the given version, or creates one if that is 0. */
	| Readonly<{kind: 'elect'; lease: string; epoch: number; epochVersion: number; leaderVersion: number}>
	| Readonly<{kind: 'lead'; epoch: number; leaderVersion: number}>
	| Readonly<{kind: 'step-down'; epoch: number; reason: string}>
	| Readonly<{kind: 'offer-term'; epoch: number; leaderVersion: number}>
	| Readonly<{kind: 'retry-later'; delay: Milliseconds}>;

/** Delay before an entry checks again whether there is no scheduler. */
const electionRetryMilliseconds = 300;

type LeadershipStep = Step<LeadershipState, LeadershipEffect>;

export function createLeadershipState(self: EntryId, address: string): LeadershipState {
	return {
		self, address, view: undefined, term: undefined, lease: undefined, highestEpoch: 0, isElectionScheduled: false, endedVersion: undefined, hasResigned: false,
	};
}

export function receiveLeadershipMessage(state: LeadershipState, message: LeadershipMessage): LeadershipStep {
	switch (message.kind) {
		case 'observed': {
			const {leader, epoch} = message;
			const highestEpoch = Math.max(state.highestEpoch, epoch?.value ?? 0, leader?.value.epoch ?? 0);
			return reconcile({...state, view: {leader, epoch}, highestEpoch});
		}

		case 'lease-changed': {
			return changeLease(state, message.lease);
		}

		case 'epoch-observed': {
			const next = {...state, highestEpoch: Math.max(state.highestEpoch, message.epoch)};
			return next.term !== undefined && message.epoch > next.term.epoch ? stepDown(next, `higher epoch ${message.epoch} was observed`) : unchanged(next);
		}

		case 'election-due': {
			return electIfVacant({...state, isElectionScheduled: false});
		}

		case 'election-ended': {
			return endElection(state, message);
		}

		case 'deposed': {
			return stepDown(state, 'the store rejected a conditional write of this scheduler');
		}

		case 'hand-over': {
			return handOver(state, message.reason);
		}

		case 'offered': {
			const {epoch, leaderVersion} = message;
			return elect({...state, highestEpoch: Math.max(state.highestEpoch, epoch)}, leaderVersion);
		}

		case 'resign': {
			return stepDown({...state, hasResigned: true}, 'this entry is stopping');
		}

		default: {
			return assertNever(message);
		}
	}
}

function unchanged(state: LeadershipState): LeadershipStep {
	return {state, effects: []};
}

/** Ends the term with the lease of its record, without waiting for the watch to report that another entry schedules. */
function changeLease(state: LeadershipState, lease: string | undefined): LeadershipStep {
	const next = {...state, lease};
	return next.term !== undefined && next.term.lease !== lease ? stepDownAndCampaign(next, 'the lease of this entry ended') : reconcile(next);
}

/** Reconciles the state of this entry with the last observation of the store. */
function reconcile(state: LeadershipState): LeadershipStep {
	const {view, term, self} = state;
	if (view === undefined) {
		return unchanged(state);
	}

	if (term !== undefined) {
		return reconcileTerm(state, term);
	}

	// This entry may have won the election although the reply was lost.
	const {leader} = view;
	const ownTerm: Term | undefined = leader?.value.entry === self
		? {
			epoch: leader.value.epoch, leaderVersion: leader.version, lease: leader.value.lease, isObserved: true,
		}
		: undefined;
	return ownTerm !== undefined && mayLead(state, ownTerm) ? beginTerm(state, ownTerm) : campaign(state);
}

/** Whether a term that the store shows or confirms as won may begin. It may have ended meanwhile. */
function mayLead({lease, highestEpoch, endedVersion, hasResigned}: LeadershipState, won: Term): boolean {
	return !hasResigned && won.lease === lease && won.epoch >= highestEpoch && won.leaderVersion !== endedVersion;
}

function beginTerm(state: LeadershipState, term: Term): LeadershipStep {
	const {epoch, leaderVersion} = term;
	return {state: {...state, term, highestEpoch: Math.max(state.highestEpoch, epoch)}, effects: [{kind: 'lead', epoch, leaderVersion}]};
}

/** Observations may be older than the election's reply, so a missing leader record counts only after this entry's own record was observed. */
function reconcileTerm(state: LeadershipState, term: Term): LeadershipStep {
	const leader = state.view?.leader;
	if (leader === undefined) {
		return term.isObserved ? stepDownAndCampaign(state, 'the lease of the leader record ended') : unchanged(state);
	}

	if (leader.version === term.leaderVersion) {
		return unchanged({...state, term: {...term, isObserved: true}});
	}

	return leader.value.epoch < term.epoch ? unchanged(state) : stepDownAndCampaign(state, `entry ${leader.value.entry} is the scheduler`);
}

/** Whether no living process schedules: there is no leader record, or an ended term of this address left it. */
function isVacant({view, self, address}: LeadershipState): boolean {
	return view !== undefined && (view.leader === undefined || (view.leader.value.entry === self && view.leader.value.address === address));
}

function mayBeginTerm({lease, hasResigned, term}: LeadershipState): boolean {
	return lease !== undefined && !hasResigned && term === undefined;
}

function campaign(state: LeadershipState): LeadershipStep {
	return isVacant(state) && mayBeginTerm(state) && !state.isElectionScheduled ? {state: {...state, isElectionScheduled: true}, effects: [{kind: 'schedule-election'}]} : unchanged(state);
}

function electIfVacant(state: LeadershipState): LeadershipStep {
	return isVacant(state) ? elect(state, state.view?.leader?.version ?? 0) : unchanged(state);
}

function elect(state: LeadershipState, leaderVersion: number): LeadershipStep {
	const {view, lease} = state;
	if (view === undefined || lease === undefined || !mayBeginTerm(state)) {
		return unchanged(state);
	}

	return {
		state,
		effects: [{
			kind: 'elect', lease, epoch: Math.max(state.highestEpoch, view.epoch?.value ?? 0) + 1, epochVersion: view.epoch?.version ?? 0, leaderVersion,
		}],
	};
}

/** Ends the term before another entry is asked to begin the next one, so that only one of them sends orders. Campaigns later, since the offer or that entry's election may be lost while this entry's lease keeps the record. */
function handOver(state: LeadershipState, reason: string): LeadershipStep {
	const {term} = state;
	if (term === undefined) {
		return unchanged(state);
	}

	const {epoch, leaderVersion} = term;
	const steppedDown = stepDown(state, reason);
	const next = retryElection(steppedDown.state);
	return {state: next.state, effects: [...steppedDown.effects, {kind: 'offer-term', epoch, leaderVersion}, ...next.effects]};
}

function endElection(state: LeadershipState, {outcome, lease, epoch, version}: Extract<LeadershipMessage, {kind: 'election-ended'}>): LeadershipStep {
	switch (outcome) {
		case 'won': {
			if (state.hasResigned || state.term !== undefined) {
				return unchanged(state);
			}

			const term: Term = {
				epoch, leaderVersion: version, lease, isObserved: false,
			};
			return mayLead(state, term) ? beginTerm(state, term) : retryElection(state);
		}

		// The watch reports the winner; if there is none, the next election follows.
		case 'lost':
		case 'unknown': {
			return retryElection(state);
		}
	}
}

function retryElection(state: LeadershipState): LeadershipStep {
	return state.isElectionScheduled ? unchanged(state) : {state: {...state, isElectionScheduled: true}, effects: [{kind: 'retry-later', delay: electionRetryMilliseconds}]};
}

function stepDown(state: LeadershipState, reason: string): LeadershipStep {
	return state.term === undefined
		? unchanged(state)
		: {state: {...state, term: undefined, endedVersion: state.term.leaderVersion}, effects: [{kind: 'step-down', epoch: state.term.epoch, reason}]};
}

function stepDownAndCampaign(state: LeadershipState, reason: string): LeadershipStep {
	const steppedDown = stepDown(state, reason);
	const next = campaign(steppedDown.state);
	return {state: next.state, effects: [...steppedDown.effects, ...next.effects]};
}
