import type {MonotonicTime} from '#core';
import {isSameIncarnation, type Resources} from '#jobs';
import {incrementRevision, type SupervisionStep} from './state.js';
import type {Announcement, SupervisedWorker, SupervisionState} from './types.js';

/** Applies an announcement. One of an earlier incarnation, or a stale one of this incarnation, is ignored. */
export function handleAnnouncement(state: SupervisionState, announcement: Announcement, monotonic: MonotonicTime): SupervisionStep {
	const {worker} = state;
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
		...state,
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

function isSameCapacity(first: Resources, second: Resources): boolean {
	return first.processorMillicores === second.processorMillicores && first.memoryMegabytes === second.memoryMegabytes && first.accelerators === second.accelerators;
}

export function handleDeparture(state: SupervisionState, {announcement: {worker, incarnation}}: SupervisedWorker): SupervisionStep {
	return {
		state: incrementRevision({...state, worker: undefined}),
		effects: [{kind: 'report-departure', worker, incarnation}, {kind: 'log', event: 'worker-left', fields: {worker, incarnation}}],
	};
}
