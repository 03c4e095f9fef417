/** Extends the leases of the worker's runs and applies the run lists in the answers. */
import type {MonotonicTime} from '#core';
import {isSameIncarnation, lateCallMilliseconds} from '#jobs';
import {
	departureCheckMilliseconds, extensionRetryMilliseconds, extensionWaitMilliseconds, unacknowledgedEndPauseMilliseconds,
} from './constants.js';
import {computeLeaseDeadline, noDeadline, recordLease} from './deadlines.js';
import {handleCandidateAnswer, handleLeavingAnswer} from './incarnation-checks.js';
import {
	incrementRevision, scheduleCheck, type SupervisionOptions, type SupervisionStep,
} from './state.js';
import {forgetCarriedOutStarts} from './unanswered-starts.js';
import type {
	LeaseExtension, SupervisedWorker, SupervisionMessage, SupervisionState,
} from './types.js';

type ExtensionAnswer = Pick<Extract<SupervisionMessage, {kind: 'extension-answered'}>, 'extension' | 'result'>;

/** Extends the leases with one call that does not wait, in addition to the recurring ones. */
export function extendLeasesNow(state: SupervisionState, monotonic: MonotonicTime, options: SupervisionOptions): SupervisionStep {
	const extension = createExtension(state, monotonic, options);
	return extension === undefined
		? {state, effects: []}
		: {state: recordExtension(state, extension), effects: [{kind: 'extend-leases', extension: {...extension, wait: 0, isRecurring: false}}]};
}

function createExtension(state: SupervisionState, monotonic: MonotonicTime, options: SupervisionOptions): LeaseExtension | undefined {
	const {worker, epoch} = state;
	return worker === undefined || epoch === 0
		? undefined
		: {
			worker: worker.announcement.worker,
			incarnation: worker.announcement.incarnation,
			epoch,
			// An unanswered call may still have been applied. If leases were extended while the worker is unresponsive, it would never be certain that they have expired.
			...(worker.isResponsive && !worker.isLeaving ? computeLeaseDeadline(state, monotonic, options) : noDeadline),
			notedEnd: worker.notedEnd > worker.acknowledgedEnd ? worker.notedEnd : 0,
			sentAt: monotonic,
			wait: extensionWaitMilliseconds,
			isRecurring: true,
		};
}

function recordExtension(state: SupervisionState, {leaseUntil, notedEnd, sentAt}: LeaseExtension): SupervisionState {
	const recorded = recordLease(state, leaseUntil);
	const {worker} = recorded;
	return notedEnd === 0 || sentAt === undefined || worker === undefined
		? recorded
		: {...recorded, worker: {...worker, unansweredAcknowledgements: [...worker.unansweredAcknowledgements.filter(earlier => sentAt - earlier < lateCallMilliseconds), sentAt]}};
}

export function startExtending(state: SupervisionState, monotonic: MonotonicTime, options: SupervisionOptions): SupervisionStep {
	if (state.isExtending) {
		return {state, effects: []};
	}

	const extension = createExtension(state, monotonic, options);
	return extension === undefined
		? {state: {...state, isExtending: true}, effects: [{kind: 'schedule-extension', delay: extensionRetryMilliseconds}]}
		: {state: {...recordExtension(state, extension), isExtending: true}, effects: [{kind: 'extend-leases', extension}]};
}

export function handleExtensionResult(
	state: SupervisionState,
	{extension, result}: Extract<SupervisionMessage, {kind: 'extension-answered'}>,
	monotonic: MonotonicTime,
	options: SupervisionOptions,
): SupervisionStep {
	const applied = applyResult(state, {extension, result}, monotonic, options);
	if (!extension.isRecurring) {
		return applied;
	}

	const next = {...applied.state, isExtending: false};
	if (result.kind !== 'answered' || next.worker?.isResponsive === false) {
		return {state: {...next, isExtending: true}, effects: [...applied.effects, {kind: 'schedule-extension', delay: extensionRetryMilliseconds}]};
	}

	// While the worker lists ended runs, it answers without waiting, so the next call is delayed here. The acknowledgement triggers a call of its own.
	if (next.worker !== undefined && next.worker.ended.ends.length > 0) {
		return {state: {...next, isExtending: true}, effects: [...applied.effects, {kind: 'schedule-extension', delay: unacknowledgedEndPauseMilliseconds}]};
	}

	const following = startExtending(next, monotonic, options);
	return {state: following.state, effects: [...applied.effects, ...following.effects]};
}

/** Applies the answer to the incarnation that was asked: the worker's, or one that announced itself and is now adopted if the answer confirms it. */
function applyResult(state: SupervisionState, answer: ExtensionAnswer, monotonic: MonotonicTime, options: SupervisionOptions): SupervisionStep {
	const {candidate} = state;
	const {extension, result} = answer;
	const worker = state.worker === undefined ? undefined : acknowledge(state.worker, answer);
	if (worker !== undefined && isSameIncarnation(worker.announcement, extension)) {
		const departure = worker.isLeaving ? handleLeavingAnswer(state, worker, result, monotonic) : undefined;
		if (departure !== undefined) {
			return departure;
		}

		const applied = applyExtensionResult(state, worker, answer, monotonic);
		return worker.isLeaving ? continueWith(applied, next => scheduleCheck(next, departureCheckMilliseconds)) : applied;
	}

	if (candidate === undefined || !isSameIncarnation(candidate, extension)) {
		return {state, effects: []};
	}

	return continueWith(handleCandidateAnswer(state, candidate, {result, monotonic, options}), next => next.worker !== undefined && isSameIncarnation(next.worker.announcement, extension)
		? applyExtensionResult(next, next.worker, answer, monotonic)
		: {state: next, effects: []});
}

/** Notes that the worker has received an acknowledgement. Each call counts by itself: an earlier one without an answer may still be carried out. */
function acknowledge(worker: SupervisedWorker, {extension, result}: ExtensionAnswer): SupervisedWorker {
	const isReceived = result.kind === 'answered' && extension.notedEnd > 0 && isSameIncarnation(worker.announcement, extension)
		&& (result.incarnation === undefined || result.incarnation === extension.incarnation);
	return isReceived
		? {
			...worker,
			acknowledgedEnd: Math.max(worker.acknowledgedEnd, extension.notedEnd),
			unansweredAcknowledgements: worker.unansweredAcknowledgements.filter(sentAt => sentAt !== extension.sentAt),
		}
		: worker;
}

function continueWith({state, effects}: SupervisionStep, transition: (state: SupervisionState) => SupervisionStep): SupervisionStep {
	const next = transition(state);
	return {state: next.state, effects: [...effects, ...next.effects]};
}

function applyExtensionResult(state: SupervisionState, worker: SupervisedWorker, {extension, result}: ExtensionAnswer, monotonic: MonotonicTime): SupervisionStep {
	switch (result.kind) {
		case 'failed':
		case 'absent':
		case 'refused': {
			return markUnresponsive(state, worker, result.message, monotonic);
		}

		case 'answered': {
			// The worker's next announcement names the other incarnation; until then its leases are not extended.
			return result.incarnation !== undefined && result.incarnation !== extension.incarnation
				? markUnresponsive(state, worker, `another incarnation answers: ${result.incarnation}, expected ${extension.incarnation}`, monotonic)
				: applyRunLists(state, worker, {extension, result}, monotonic);
		}
	}
}

function markUnresponsive(state: SupervisionState, worker: SupervisedWorker, reason: string, monotonic: MonotonicTime): SupervisionStep {
	return worker.isResponsive
		? {
			state: incrementRevision({...state, worker: {...worker, isResponsive: false, silentSince: monotonic}}),
			effects: [{kind: 'renew'}, {kind: 'log', event: 'worker-lost', fields: {worker: worker.announcement.worker, reason}}],
		}
		: {state, effects: []};
}

type SuccessfulExtension = Readonly<{extension: LeaseExtension; result: Extract<Extract<SupervisionMessage, {kind: 'extension-answered'}>['result'], {kind: 'answered'}>}>;

/** Answers on different connections can arrive out of order; the worker's clock orders them. A list from the same millisecond as a start may predate the start. */
function applyRunLists(state: SupervisionState, worker: SupervisedWorker, {extension, result}: SuccessfulExtension, monotonic: MonotonicTime): SupervisionStep {
	if (result.clock <= worker.latestStartClock || (worker.clock !== undefined && result.clock < worker.clock.worker)) {
		return {state, effects: []};
	}

	const ended = {...result.ended, ends: result.ended.ends.filter(({number}) => number > worker.notedEnd)};
	const haveEndsChanged = ended.kind !== worker.ended.kind || ended.ends.some(({number}) => worker.ended.ends.every(known => known.number !== number));
	const haveRunsChanged = result.running.length !== worker.running.length
		|| result.running.some(({task, run}) => worker.running.every(known => known.task !== task || known.run !== run));
	const isFenced = extension.epoch > worker.fencedEpoch;
	const next: SupervisionState = {
		...forgetCarriedOutStarts(state, worker.announcement.worker, result),
		worker: {
			...worker,
			clock: {worker: result.clock, monotonic},
			running: result.running,
			ended,
			isResponsive: true,
			answeredAt: Math.max(worker.answeredAt, extension.sentAt ?? -Infinity),
			silentSince: undefined,
			fencedEpoch: Math.max(worker.fencedEpoch, extension.epoch),
		},
	};
	const hasChanged = haveEndsChanged || haveRunsChanged || isFenced || !worker.isResponsive;
	return hasChanged ? {state: incrementRevision(next), effects: [{kind: 'renew'}]} : {state: next, effects: []};
}
