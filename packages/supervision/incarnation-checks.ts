/**
Checks what announcements and departures claim with the worker itself.

Both carry an identifier that several incarnations may share, and both may arrive late: only the worker's own answer tells which incarnation takes orders, and only its absence that its runs have ended.
*/
import type {MonotonicTime} from '#core';
import {isSameIncarnation, type WorkerIncarnation} from '#jobs';
import {departureCheckMilliseconds, extensionRetryMilliseconds, startProbeMilliseconds} from './constants.js';
import {noDeadline} from './deadlines.js';
import {isLeaseOver} from './describe.js';
import {adoptIncarnation, completeDeparture} from './incarnations.js';
import {
	incrementRevision, scheduleCheck, type SupervisionOptions, type SupervisionStep,
} from './state.js';
import {listCrashingStarts} from './unanswered-starts.js';
import type {
	Announcement, LeaseExtension, LeaseExtensionResult, SupervisedWorker, SupervisionEffect, SupervisionState,
} from './types.js';

/** Asks the worker whether it is the incarnation that announced itself. */
export function proposeIncarnation(state: SupervisionState, announcement: Announcement): SupervisionStep {
	const {candidate} = state;
	if (isSameIncarnation(candidate, announcement) && announcement.sequence <= (candidate?.sequence ?? 0)) {
		return {state, effects: []};
	}

	const next = {...state, candidate: announcement};
	return {state: next, effects: listChecks(next)};
}

/** Asks the worker whether it is still there. It gets no orders meanwhile, and its leases are not extended. */
export function handleDepartureNotice(state: SupervisionState, worker: SupervisedWorker): SupervisionStep {
	const next = incrementRevision({...state, worker: {...worker, isLeaving: true}});
	const {announcement: {worker: identifier, incarnation}} = worker;
	return {
		state: next,
		effects: [{kind: 'renew'}, ...listChecks(next), {kind: 'log', event: 'departure-announced', fields: {worker: identifier, incarnation}}],
	};
}

/** Repeats the checks that are not decided yet. */
export function repeatChecks(state: SupervisionState): SupervisionStep {
	return {state: {...state, isCheckScheduled: false}, effects: listChecks(state)};
}

/** Asks the worker for its runs if it may have been crashed by a start that it has not answered: an answer shows that it was not. */
export function probeAfterStart(state: SupervisionState, monotonic: MonotonicTime): readonly SupervisionEffect[] {
	const {worker} = state;
	return worker === undefined || listCrashingStarts(state, worker, monotonic).every(({sentAt}) => monotonic - sentAt < startProbeMilliseconds)
		? []
		: [{kind: 'probe', extension: {...createCheck(state, worker.announcement), sentAt: monotonic}}];
}

type CandidateAnswer = Readonly<{result: LeaseExtensionResult; monotonic: MonotonicTime; options: SupervisionOptions}>;

/** Applies the answer to a check of the incarnation that announced itself. */
export function handleCandidateAnswer(state: SupervisionState, candidate: Announcement, {result, monotonic, options}: CandidateAnswer): SupervisionStep {
	switch (result.kind) {
		case 'answered': {
			return result.incarnation === undefined || result.incarnation === candidate.incarnation
				? adoptIncarnation(state, candidate, monotonic, options)
				: rejectCandidate(state, candidate, `the worker answers as incarnation ${result.incarnation}`);
		}

		case 'absent': {
			return rejectCandidate(state, candidate, result.message);
		}

		case 'refused':
		case 'failed': {
			return scheduleCheck(state, extensionRetryMilliseconds);
		}
	}
}

/** Decides by an answer whether a worker that announced its departure has ended; undefined if its lists are to be applied, since it is still there. */
export function handleLeavingAnswer(state: SupervisionState, worker: SupervisedWorker, result: LeaseExtensionResult, monotonic: MonotonicTime): SupervisionStep | undefined {
	switch (result.kind) {
		case 'answered': {
			return result.incarnation === undefined || result.incarnation === worker.announcement.incarnation ? undefined : completeDeparture(state, worker);
		}

		case 'absent': {
			return completeDeparture(state, worker);
		}

		case 'refused':
		case 'failed': {
			return isLeaseOver(worker.leaseUntil, monotonic) ? completeDeparture(state, worker) : scheduleCheck(state, departureCheckMilliseconds);
		}
	}
}

function rejectCandidate(state: SupervisionState, {worker, incarnation}: Announcement, doubt: string): SupervisionStep {
	return {state: {...state, candidate: undefined}, effects: [{kind: 'log', event: 'announcement-ignored', fields: {worker, incarnation, doubt}}]};
}

function listChecks(state: SupervisionState): readonly SupervisionEffect[] {
	const {candidate, worker, epoch} = state;
	const extensions = [
		...(candidate === undefined ? [] : [createCheck(state, candidate)]),
		...(worker?.isLeaving === true ? [createCheck(state, worker.announcement)] : []),
	];
	return [
		...extensions.map((extension): SupervisionEffect => ({kind: 'extend-leases', extension})),
		...(worker === undefined || worker.startsToRevoke.length === 0 ? [] : [{kind: 'revoke-starts', epoch, worker} as const]),
	];
}

/** Creates a call that extends no lease, acknowledges nothing and returns at once. */
function createCheck({epoch}: SupervisionState, {worker, incarnation}: WorkerIncarnation): LeaseExtension {
	return {
		worker, incarnation, epoch, ...noDeadline, notedEnd: 0, wait: 0, isRecurring: false,
	};
}
