import type {CurrentTime, MonotonicTime, Timestamp} from '#core';
import {isSameIncarnation, type Resources} from '#jobs';
import {maximumEndedIncarnations, maximumSequenceGap, maximumStartAheadMilliseconds} from './constants.js';
import {listRecentlyLost} from './describe.js';
import {incrementRevision, type SupervisionOptions, type SupervisionStep} from './state.js';
import type {
	Announcement, EndedIncarnation, SupervisedWorker, SupervisionState,
} from './types.js';

/** Applies an announcement. One of an earlier incarnation, a stale one of this incarnation, or one that another writer sent is ignored. */
export function handleAnnouncement(state: SupervisionState, announcement: Announcement, {now, monotonic}: CurrentTime, {workerAddress}: SupervisionOptions): SupervisionStep {
	const {worker} = state;
	const doubt = findDoubt(announcement, worker?.announcement, now, workerAddress);
	if (doubt !== undefined) {
		return {state, effects: [{kind: 'log', event: 'announcement-ignored', fields: {worker: announcement.worker, incarnation: announcement.incarnation, doubt}}]};
	}

	const isCurrentIncarnation = isSameIncarnation(worker?.announcement, announcement);
	if (worker !== undefined && !isCurrentIncarnation && announcement.startedAt < worker.announcement.startedAt) {
		return {state, effects: []};
	}

	const leavesAt = announcement.leavesInMilliseconds === undefined ? undefined : monotonic + announcement.leavesInMilliseconds;
	if (worker !== undefined && isCurrentIncarnation) {
		if (announcement.sequence <= worker.announcement.sequence) {
			return {state, effects: []};
		}

		const hasStateChanged = announcement.state !== worker.announcement.state || !isSameCapacity(announcement.capacity, worker.announcement.capacity);
		const next = {...state, worker: {...worker, announcement, leavesAt}};
		return hasStateChanged
			? {
				state: incrementRevision(next),
				effects: [
					{kind: 'renew'},
					{kind: 'log', event: 'worker-state-changed', fields: {worker: announcement.worker, state: announcement.state, ...announcement.capacity}},
				],
			}
			: {state: next, effects: []};
	}

	const next: SupervisionState = {
		...(worker === undefined ? state : addEndedIncarnation(state, worker, 'replaced')),
		lostRuns: [...listRecentlyLost(state, monotonic), ...listLostRuns(worker, monotonic)],
		worker: {
			announcement,
			leavesAt,
			clock: announcement.clock === undefined ? undefined : {worker: announcement.clock, monotonic},
			latestStartClock: -Infinity,
			running: [],
			ended: [],
			isResponsive: true,
			leaseUntil: 0,
			notedEnd: 0,
			fencedEpoch: 0,
		},
	};
	return {
		state: incrementRevision(next),
		effects: [
			{kind: 'log', event: 'worker-announced', fields: {worker: announcement.worker, incarnation: announcement.incarnation}},
			{kind: 'renew'},
			...(state.isExtending ? [] : [{kind: 'schedule-extension', delay: 0} as const]),
		],
	};
}

/** Keeps what an incarnation listed last, since no later list contains it. */
function addEndedIncarnation(state: SupervisionState, {announcement: {worker, incarnation}, ended}: SupervisedWorker, ending: EndedIncarnation['ending']): SupervisionState {
	if (ending === 'replaced' && ended.length === 0) {
		return state;
	}

	return {
		...state, endedIncarnations: [...state.endedIncarnations, {
			worker, incarnation, ending, ended,
		}].slice(-maximumEndedIncarnations),
	};
}

/** Lists the runs without progress of an incarnation that another one replaced without a word. One that drains ends as announced. */
function listLostRuns(replaced: SupervisedWorker | undefined, at: MonotonicTime): SupervisionState['lostRuns'] {
	return replaced?.announcement.state === 'ready'
		? replaced.running.filter(({percent}) => percent === 0).map(({task, run}) => ({task, run, at}))
		: [];
}

/** Says why an announcement cannot be the worker's own. Accepting it would hide the worker, whose own ones then look outdated. */
function findDoubt(announcement: Announcement, current: Announcement | undefined, now: Timestamp, workerAddress: string): string | undefined {
	if (announcement.startedAt > now + maximumStartAheadMilliseconds) {
		return 'claims to have started in the future';
	}

	if (current?.address === workerAddress && announcement.address !== workerAddress) {
		return 'names another address';
	}

	return isSameIncarnation(current, announcement) && announcement.sequence > (current?.sequence ?? 0) + maximumSequenceGap
		? 'its number is far ahead'
		: undefined;
}

function isSameCapacity(first: Resources, second: Resources): boolean {
	return first.processorMillicores === second.processorMillicores && first.memoryMegabytes === second.memoryMegabytes && first.accelerators === second.accelerators;
}

export function handleDeparture(state: SupervisionState, departed: SupervisedWorker): SupervisionStep {
	const {announcement: {worker, incarnation}, running, ended} = departed;
	return {
		state: incrementRevision({...addEndedIncarnation(state, departed, 'left'), worker: undefined}),
		effects: [
			{kind: 'renew'},
			{
				kind: 'log', event: 'worker-left', fields: {
					worker,
					incarnation,
					running: running.map(({task, run}) => ({task, run})),
					unacknowledged: ended.map(({task, run, ending}) => ({task, run, ending})),
				},
			},
		],
	};
}
