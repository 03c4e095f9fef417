/**
Lists the starts that the worker did not answer, for the scheduler, and stops them on its next incarnation.

A call without an answer may be carried out later, also by the next incarnation of the same identifier, which knows nothing of earlier stops. Its stop makes the worker refuse the run from then on.
*/
import type {MonotonicTime, WorkerId} from '#core';
import {
	lateCallMilliseconds, type RunLists, type TaskName, type UnansweredStarts,
} from '#jobs';
import {departureCheckMilliseconds, immediateCrashMilliseconds, startProbeMilliseconds} from './constants.js';
import {recordLease} from './deadlines.js';
import {incrementRevision, scheduleCheck, type SupervisionStep} from './state.js';
import type {
	SupervisedWorker, SupervisionMessage, SupervisionState, UnansweredStart,
} from './types.js';

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

/** Lists the starts that the identifier of a worker may still carry out, also those that an earlier incarnation did not answer. */
export function listUnansweredStarts({unansweredStarts}: SupervisionState, worker: WorkerId, monotonic: MonotonicTime): readonly UnansweredStart[] {
	return unansweredStarts.filter(start => start.worker === worker && mayBeCarriedOut(start, monotonic));
}

export function mayBeCarriedOut({sentAt}: UnansweredStart, monotonic: MonotonicTime): boolean {
	return monotonic - sentAt < lateCallMilliseconds;
}

/**
Lists the starts without an answer that probably crashed the worker, if it has ended by now: it fell silent at once, and answered no call that was made after the start.

A start that is carried out late leaves the worker time to answer such a call, and a crash with another cause seldom comes within that time.
*/
export function listCrashingStarts({unansweredStarts}: SupervisionState, {announcement, adoptedAt, answeredAt, silentSince}: SupervisedWorker, now: MonotonicTime): readonly UnansweredStart[] {
	const crashedAt = silentSince ?? now;
	return unansweredStarts.filter(({worker, sentAt}) => worker === announcement.worker
		&& sentAt >= adoptedAt
		&& answeredAt - sentAt < startProbeMilliseconds
		&& crashedAt >= sentAt && crashedAt - sentAt <= immediateCrashMilliseconds);
}

/** Describes the unanswered starts for the scheduler. */
export function describeUnansweredStarts(state: SupervisionState, worker: WorkerId, monotonic: MonotonicTime): UnansweredStarts {
	return {
		knownForMilliseconds: state.receivingSince === undefined ? 0 : monotonic - state.receivingSince,
		starts: listUnansweredStarts(state, worker, monotonic).map(({task, run, sentAt}) => ({task, run, remainingMilliseconds: sentAt + lateCallMilliseconds - monotonic})),
	};
}

/** Forgets the starts that the worker has carried out, as its lists show. */
export function forgetCarriedOutStarts(state: SupervisionState, worker: WorkerId, {running, ended}: RunLists): SupervisionState {
	const carriedOut = [...running, ...ended.ends];
	return {...state, unansweredStarts: state.unansweredStarts.filter(start => start.worker !== worker || carriedOut.every(({task, run}) => task !== start.task || run !== start.run))};
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
