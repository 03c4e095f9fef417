import type {CurrentTime, Timestamp} from '#core';
import {isSameIncarnation, type Resources} from '#jobs';
import {maximumSequenceGap, maximumStartAheadMilliseconds} from './constants.js';
import {proposeIncarnation} from './incarnation-checks.js';
import {adoptIncarnation, computeLeavingTime, computeWarmTime} from './incarnations.js';
import {incrementRevision, type SupervisionOptions, type SupervisionStep} from './state.js';
import type {Announcement, SupervisionState} from './types.js';

/** Applies an announcement. A stale one of this incarnation, or one that another writer sent, is ignored; one of another incarnation is checked with the worker. */
export function handleAnnouncement(state: SupervisionState, announcement: Announcement, {now, monotonic}: CurrentTime, options: SupervisionOptions): SupervisionStep {
	const {worker} = state;
	const doubt = findDoubt(announcement, worker?.announcement, now, options.workerAddress);
	if (doubt !== undefined) {
		return {state, effects: [{kind: 'log', event: 'announcement-ignored', fields: {worker: announcement.worker, incarnation: announcement.incarnation, doubt}}]};
	}

	if (worker !== undefined && isSameIncarnation(worker.announcement, announcement)) {
		if (announcement.sequence <= worker.announcement.sequence) {
			return {state, effects: []};
		}

		// A worker that still announces itself has not left: the departure was delayed, or another incarnation's.
		const hasStateChanged = worker.isLeaving || announcement.state !== worker.announcement.state || !isSameCapacity(announcement.capacity, worker.announcement.capacity);
		const next: SupervisionState = {
			...state, worker: {
				...worker, announcement, isLeaving: false, leavesAt: computeLeavingTime(announcement, monotonic), coldUntil: computeWarmTime(announcement, monotonic),
			},
		};
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

	return worker === undefined
		? adoptIncarnation(state, announcement, monotonic, options)
		: proposeIncarnation(state, announcement);
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
