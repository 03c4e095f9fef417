/**
Stops starts that an earlier incarnation of the worker did not answer.

A call without an answer may be carried out later, also by the next incarnation of the same identifier, which knows nothing of earlier stops. Its stop makes the worker refuse the run from then on.
*/
import type {MonotonicTime, WorkerId} from '#core';
import type {TaskName} from '#jobs';
import {departureCheckMilliseconds, lateCallMilliseconds} from './constants.js';
import {recordLease} from './deadlines.js';
import {incrementRevision, scheduleCheck, type SupervisionStep} from './state.js';
import type {SupervisionMessage, SupervisionState, UnansweredStart} from './types.js';

export function recordStart(state: SupervisionState, {incarnation, task, run, leaseUntil}: Extract<SupervisionMessage, {kind: 'start-requested'}>, sentAt: MonotonicTime): SupervisionState {
	const {worker, unansweredStarts} = state;
	if (worker?.announcement.incarnation !== incarnation) {
		return state;
	}

	const start: UnansweredStart = {
		worker: worker.announcement.worker, task, run, sentAt,
	};
	return recordLease({...state, unansweredStarts: [...unansweredStarts.filter(earlier => mayBeCarriedOut(earlier, sentAt)), start]}, leaseUntil);
}

export function forgetStart(state: SupervisionState, {task, run}: Readonly<{task: TaskName; run: number}>): SupervisionState {
	return {...state, unansweredStarts: state.unansweredStarts.filter(start => start.task !== task || start.run !== run)};
}

/** Lists the starts that the next incarnation of a worker may still carry out. */
export function listStartsToRevoke({unansweredStarts}: SupervisionState, worker: WorkerId, monotonic: MonotonicTime): readonly UnansweredStart[] {
	return unansweredStarts.filter(start => start.worker === worker && mayBeCarriedOut(start, monotonic));
}

export function mayBeCarriedOut({sentAt}: UnansweredStart, monotonic: MonotonicTime): boolean {
	return monotonic - sentAt < lateCallMilliseconds;
}

export function handleRevokedStarts(state: SupervisionState, {incarnation, starts}: Extract<SupervisionMessage, {kind: 'starts-revoked'}>): SupervisionStep {
	const {worker} = state;
	if (worker?.announcement.incarnation !== incarnation) {
		return {state, effects: []};
	}

	const startsToRevoke = worker.startsToRevoke.filter(start => !starts.includes(start));
	const next = incrementRevision({...state, worker: {...worker, startsToRevoke}});
	return startsToRevoke.length === 0 ? {state: next, effects: [{kind: 'renew'}]} : scheduleCheck(next, departureCheckMilliseconds);
}
