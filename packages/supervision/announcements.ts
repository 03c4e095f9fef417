import type {MonotonicTime} from '#core';
import {isSameIncarnation} from '#jobs';
import {changed, type SupervisionStep} from './state.js';
import type {Announcement, SupervisedWorker, SupervisionState} from './types.js';

/** A delayed announcement of an earlier life, or an older one of this life, changes nothing. */
export function handleAnnouncement(state: SupervisionState, announcement: Announcement, monotonic: MonotonicTime): SupervisionStep {
	const {worker} = state;
	const isKnown = isSameIncarnation(worker?.announcement, announcement);
	if (worker !== undefined && !isKnown && announcement.startedAt < worker.announcement.startedAt) {
		return {state, effects: []};
	}

	const leavesAt = announcement.leavesInMilliseconds === undefined ? undefined : monotonic + announcement.leavesInMilliseconds;
	if (worker !== undefined && isKnown) {
		if (announcement.sequence <= worker.announcement.sequence) {
			return {state, effects: []};
		}

		const isNews = announcement.state !== worker.announcement.state;
		const next = {...state, worker: {...worker, announcement, leavesAt}};
		return isNews
			? {state: changed(next), effects: [{kind: 'renew'}, {kind: 'log', event: 'worker-state-changed', fields: {worker: announcement.worker, state: announcement.state}}]}
			: {state: next, effects: []};
	}

	const next: SupervisionState = {
		...state,
		worker: {
			announcement,
			leavesAt,
			clock: announcement.clock === undefined ? undefined : {worker: announcement.clock, monotonic},
			startedClock: -Infinity,
			running: [],
			ended: [],
			isResponsive: true,
			leaseUntil: 0,
			notedEnd: 0,
			fencedEpoch: 0,
		},
	};
	return {
		state: changed(next),
		effects: [
			{kind: 'log', event: 'worker-announced', fields: {worker: announcement.worker, incarnation: announcement.incarnation}},
			{kind: 'renew'},
			...(state.isHolding ? [] : [{kind: 'schedule-hold', delay: 0} as const]),
		],
	};
}

export function depart(state: SupervisionState, {announcement: {worker, incarnation}}: SupervisedWorker): SupervisionStep {
	return {
		state: changed({...state, worker: undefined}),
		effects: [{kind: 'say-left', worker, incarnation}, {kind: 'log', event: 'worker-left', fields: {worker, incarnation}}],
	};
}
