/** Changes from one incarnation of the worker to the next. */
import type {MonotonicTime} from '#core';
import {lateCallMilliseconds} from '#jobs';
import {maximumEndedIncarnations} from './constants.js';
import {listRecentlyLost} from './describe.js';
import {incrementRevision, type SupervisionOptions, type SupervisionStep} from './state.js';
import {listCrashingStarts, listUnansweredStarts} from './unanswered-starts.js';
import type {
	Announcement, EndedIncarnation, SupervisedWorker, SupervisionState,
} from './types.js';

/** Replaces the worker by the incarnation that announced itself. */
export function adoptIncarnation(state: SupervisionState, announcement: Announcement, monotonic: MonotonicTime, {maximumLeaseMilliseconds}: SupervisionOptions): SupervisionStep {
	const {worker} = state;
	const earlier = [worker, state.departed].find(known => known?.announcement.worker === announcement.worker);
	const adopted: SupervisedWorker = {
		announcement,
		isLeaving: false,
		leavesAt: computeLeavingTime(announcement, monotonic),
		coldUntil: computeWarmTime(announcement, monotonic),
		clock: announcement.clock === undefined ? undefined : {worker: announcement.clock, monotonic},
		latestStartClock: -Infinity,
		running: [],
		// Nothing is known until the worker has listed its runs.
		ended: {kind: 'cut', ends: []},
		isResponsive: true,
		adoptedAt: monotonic,
		answeredAt: -Infinity,
		silentSince: undefined,
		// An earlier process of this agent may have extended the leases, and a late call for an earlier incarnation may still extend them.
		leaseUntil: monotonic + maximumLeaseMilliseconds + (earlier === undefined ? 0 : lateCallMilliseconds),
		grantDeadline: undefined,
		notedEnd: 0,
		acknowledgedEnd: 0,
		unansweredAcknowledgements: [],
		startsBarredUntil: earlier === undefined ? -Infinity : Math.max(earlier.startsBarredUntil, ...earlier.unansweredAcknowledgements.map(sentAt => sentAt + lateCallMilliseconds)),
		startsToRevoke: listUnansweredStarts(state, announcement.worker, monotonic),
		fencedEpoch: 0,
	};
	const next: SupervisionState = {
		...(worker === undefined ? state : addEndedIncarnation(state, worker, worker.isLeaving ? 'left' : 'replaced')),
		lostRuns: [...listRecentlyLost(state, monotonic), ...listLostRuns(state, worker, monotonic)],
		candidate: undefined,
		worker: adopted,
	};
	return {
		state: incrementRevision(next),
		effects: [
			{kind: 'log', event: 'worker-announced', fields: {worker: announcement.worker, incarnation: announcement.incarnation}},
			{kind: 'renew'},
			...(adopted.startsToRevoke.length === 0 ? [] : [{kind: 'revoke-starts', epoch: state.epoch, worker: adopted} as const]),
			...(state.isExtending ? [] : [{kind: 'schedule-extension', delay: 0} as const]),
		],
	};
}

/** Removes a worker that has ended after its departure. */
export function completeDeparture(state: SupervisionState, departed: SupervisedWorker): SupervisionStep {
	const {announcement: {worker, incarnation}, running, ended: {kind, ends}} = departed;
	return {
		state: incrementRevision({...addEndedIncarnation(state, departed, 'left'), worker: undefined, departed}),
		effects: [
			{kind: 'renew'},
			{
				kind: 'log', event: 'worker-left', fields: {
					worker,
					incarnation,
					running: running.map(({task, run}) => ({task, run})),
					unacknowledged: ends.map(({task, run, ending}) => ({task, run, ending})),
					areEndsCut: kind === 'cut',
				},
			},
		],
	};
}

export function computeLeavingTime({leavesInMilliseconds}: Announcement, monotonic: MonotonicTime): MonotonicTime | undefined {
	return leavesInMilliseconds === undefined ? undefined : monotonic + leavesInMilliseconds;
}

export function computeWarmTime({coldForMilliseconds}: Announcement, monotonic: MonotonicTime): MonotonicTime | undefined {
	return coldForMilliseconds === undefined ? undefined : monotonic + coldForMilliseconds;
}

/** Keeps what an incarnation listed last, since no later list contains it. Ends that it did not list are lost: nothing can acknowledge them any more. */
function addEndedIncarnation(state: SupervisionState, {announcement: {worker, incarnation}, ended: {ends: ended}}: SupervisedWorker, ending: EndedIncarnation['ending']): SupervisionState {
	if (ending === 'replaced' && ended.length === 0) {
		return state;
	}

	return {
		...state, endedIncarnations: [...state.endedIncarnations, {
			worker, incarnation, ending, ended,
		}].slice(-maximumEndedIncarnations),
	};
}

/** Lists the runs without progress of an incarnation that another one replaced without a word, and the starts that probably crashed it. One that drains ends as announced. */
function listLostRuns(state: SupervisionState, replaced: SupervisedWorker | undefined, at: MonotonicTime): SupervisionState['lostRuns'] {
	if (replaced?.announcement.state !== 'ready' || replaced.isLeaving) {
		return [];
	}

	return [...replaced.running.filter(({percent}) => percent === 0), ...listCrashingStarts(state, replaced, at)].map(({task, run}) => ({task, run, at}));
}
