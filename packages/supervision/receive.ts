import {assertNever, type MonotonicTime, type CurrentTime} from '#core';
import {handleAnnouncement} from './announcements.js';
import {
	lostRunRetentionMilliseconds, maximumEndedIncarnations, startProbeMilliseconds, suspensionThresholdMilliseconds,
} from './constants.js';
import {handleDepartureNotice, probeAfterStart, repeatChecks} from './incarnation-checks.js';
import {
	handleExtensionResult, extendLeasesNow, startExtending,
} from './lease-extension.js';
import {
	forgetStart, handleRevokedStarts, recordStart,
} from './unanswered-starts.js';
import {extendGrant} from './deadlines.js';
import {incrementRevision, type SupervisionOptions, type SupervisionStep} from './state.js';
import type {EndedIncarnation, SupervisionMessage, SupervisionState} from './types.js';

export const initialSupervisionState: SupervisionState = {
	worker: undefined,
	departed: undefined,
	candidate: undefined,
	isCheckScheduled: false,
	unansweredStarts: [],
	endedIncarnations: [],
	reportedIncarnations: [],
	lostRuns: [],
	epoch: 0,
	grantUntil: 0,
	grantsVoidUntil: -Infinity,
	receivingSince: undefined,
	clockOffset: undefined,
	revision: 0,
	isExtending: false,
	isStopped: false,
};

/** Decides when leases are extended, which scheduler's orders are accepted, and what is reported. */
export function receiveSupervisionMessage(state: SupervisionState, message: SupervisionMessage, time: CurrentTime, options: SupervisionOptions): SupervisionStep {
	return state.isStopped ? {state, effects: []} : handleMessage(updateClockOffset(state, time), message, time, options);
}

/**
Drops the grant after a suspension: the monotonic clock stood still meanwhile, so the grant may have expired. The next renewal obtains another one.

A wall clock that is set forward looks the same and costs one renewal.
*/
function updateClockOffset(state: SupervisionState, time: CurrentTime): SupervisionState {
	const next = {...state, receivingSince: state.receivingSince ?? time.monotonic, clockOffset: time.now - time.monotonic};
	return wasSuspended(state, time) ? {...next, grantUntil: 0, grantsVoidUntil: time.monotonic} : next;
}

/** Whether the machine was suspended since the last message, so that the state's grant may have expired. */
export function wasSuspended({clockOffset}: SupervisionState, {now, monotonic}: CurrentTime): boolean {
	return clockOffset !== undefined && now - monotonic - clockOffset > suspensionThresholdMilliseconds;
}

function handleMessage(state: SupervisionState, message: SupervisionMessage, time: CurrentTime, options: SupervisionOptions): SupervisionStep {
	const {monotonic} = time;
	switch (message.kind) {
		case 'announced': {
			return handleAnnouncement(state, message.announcement, time, options);
		}

		case 'departed': {
			return state.worker?.announcement.worker === message.worker ? handleDepartureNotice(state, state.worker) : {state, effects: []};
		}

		case 'granted': {
			return handleGrant(state, message, monotonic, options);
		}

		case 'incarnation-end-reported': {
			return {state: noteReportedEnd(state, message.incarnation, monotonic), effects: []};
		}

		case 'epoch-raised': {
			return raiseEpoch(state, message.epoch, monotonic, options);
		}

		case 'extension-answered': {
			return handleExtensionResult(state, message, monotonic, options);
		}

		case 'extension-due': {
			return startExtending({...state, isExtending: false}, monotonic, options);
		}

		case 'check-due': {
			return repeatChecks(state);
		}

		case 'start-requested': {
			return {state: recordStart(state, message, monotonic), effects: [{kind: 'schedule-probe', delay: startProbeMilliseconds}]};
		}

		case 'probe-due': {
			return {state, effects: probeAfterStart(state, monotonic)};
		}

		case 'start-refused': {
			return {state: forgetStart(state, message), effects: []};
		}

		case 'starts-revoked': {
			return handleRevokedStarts(state, message);
		}

		case 'started': {
			return handleStarted(forgetStart(state, message), message, monotonic);
		}

		case 'stop': {
			return {state: {...state, isStopped: true}, effects: []};
		}

		default: {
			return assertNever(message);
		}
	}
}

function handleGrant(state: SupervisionState, message: Extract<SupervisionMessage, {kind: 'granted'}>, monotonic: MonotonicTime, options: SupervisionOptions): SupervisionStep {
	if (message.epoch < state.epoch) {
		return {state, effects: []};
	}

	const {worker} = state;
	const isAcknowledged = worker !== undefined && worker.announcement.incarnation === message.incarnation;
	const isValid = message.sentAt > state.grantsVoidUntil;
	const acknowledged = worker !== undefined && isAcknowledged ? {...worker, notedEnd: Math.max(worker.notedEnd, message.notedEnd)} : worker;
	const granted: SupervisionState = {
		...state,
		grantUntil: isValid ? Math.max(state.grantUntil, message.sentAt + message.validity) : state.grantUntil,
		worker: acknowledged !== undefined && isValid ? extendGrant(acknowledged, message) : acknowledged,
	};
	const raised = raiseEpoch(granted, message.epoch, monotonic, options);
	const hasStoredEnds = worker !== undefined && isAcknowledged && message.notedEnd > worker.notedEnd && raised.effects.length === 0;
	return hasStoredEnds ? extendLeasesNow(raised.state, monotonic, options) : raised;
}

/** Sends a new epoch to the worker at once, so that it refuses late orders of earlier schedulers. */
function raiseEpoch(state: SupervisionState, epoch: number, monotonic: MonotonicTime, options: SupervisionOptions): SupervisionStep {
	if (epoch <= state.epoch) {
		return {state, effects: []};
	}

	const extended = extendLeasesNow(incrementRevision({...reportEndsAgain(state, monotonic), epoch}), monotonic, options);
	return {
		state: extended.state,
		effects: [{kind: 'log', event: 'epoch-raised', fields: {epoch, earlier: state.epoch}}, ...extended.effects],
	};
}

/** Notes that a scheduler has received the end of an incarnation. Ends that the incarnation listed are kept, until they are certainly stored or too old to matter. */
function noteReportedEnd(state: SupervisionState, ended: EndedIncarnation, at: MonotonicTime): SupervisionState {
	const isNew = state.endedIncarnations.includes(ended) && ended.ended.length > 0;
	return incrementRevision({
		...state,
		endedIncarnations: state.endedIncarnations.filter(other => other !== ended),
		reportedIncarnations: isNew ? [...state.reportedIncarnations, {ended, at}].slice(-maximumEndedIncarnations) : state.reportedIncarnations,
	});
}

/** Lists the ends that an earlier scheduler received for the next one. */
function reportEndsAgain(state: SupervisionState, monotonic: MonotonicTime): SupervisionState {
	const again = state.reportedIncarnations.filter(({at}) => monotonic - at < lostRunRetentionMilliseconds).map(({ended}) => ended);
	return {...state, endedIncarnations: [...again, ...state.endedIncarnations].slice(-maximumEndedIncarnations), reportedIncarnations: []};
}

/** Adds a started run before the worker's next list arrives, so that no report omits it. */
function handleStarted(state: SupervisionState, {incarnation, task, run, clock}: Extract<SupervisionMessage, {kind: 'started'}>, monotonic: MonotonicTime): SupervisionStep {
	const {worker} = state;
	if (worker?.announcement.incarnation !== incarnation) {
		return {state, effects: []};
	}

	const isListed = worker.running.some(row => row.task === task && row.run === run) || worker.ended.ends.some(row => row.task === task && row.run >= run);
	return {
		state: incrementRevision({
			...state,
			worker: {
				...worker,
				clock: clock !== undefined && (worker.clock === undefined || clock >= worker.clock.worker) ? {worker: clock, monotonic} : worker.clock,
				latestStartClock: Math.max(worker.latestStartClock, clock ?? -Infinity),
				running: isListed
					? worker.running
					: [...worker.running, {
						task, run, checkpoint: '', percent: 0,
					}],
			},
		}),
		effects: [],
	};
}
