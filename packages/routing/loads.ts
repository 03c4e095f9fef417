import {assertNever, type ServiceClass, type WorkerId} from '#core';
import {reportSmoothingWeight} from './constants.js';
import type {ClassLoad, LoadMessage, LoadState} from './types.js';

export const noLoad: ClassLoad = {short: 0, long: 0};

/** Tracks each worker's load as one entry sees it: its own requests exactly, those of other entries from reports. */
export function receiveLoadMessage(state: LoadState, message: LoadMessage): LoadState {
	switch (message.kind) {
		case 'joined': {
			return new Map(state).set(message.worker, {outstanding: noLoad, others: noLoad});
		}

		case 'left': {
			const next = new Map(state);
			next.delete(message.worker);
			return next;
		}

		case 'dispatched': {
			return addOutstanding(state, message, 1);
		}

		case 'ended': {
			return addOutstanding(state, message, -1);
		}

		case 'reported': {
			const known = state.get(message.worker);
			return known === undefined
				? state
				: new Map(state).set(message.worker, {...known, others: estimateOthers(known.others, message.load, known.outstanding)});
		}

		default: {
			return assertNever(message);
		}
	}
}

/**
Estimates the requests of other entries at a worker: its reported load minus this entry's own requests.

Reports arrive every two seconds but requests last for milliseconds, so a single report soon becomes stale; used as it is, it would send all entries to the same workers until the next one. Smoothed reports still show lasting differences.
*/
export function estimateOthers(estimate: ClassLoad, reported: ClassLoad, own: ClassLoad): ClassLoad {
	const smooth = (serviceClass: ServiceClass) =>
		estimate[serviceClass] + (reportSmoothingWeight * (Math.max(0, reported[serviceClass] - own[serviceClass]) - estimate[serviceClass]));
	return {short: smooth('short'), long: smooth('long')};
}

/** The count never falls below zero, because a request may end after its worker left and rejoined with a new count. */
function addOutstanding(state: LoadState, {worker, serviceClass}: Readonly<{worker: WorkerId; serviceClass: ServiceClass}>, change: 1 | -1): LoadState {
	const known = state.get(worker);
	if (known === undefined) {
		return state;
	}

	const outstanding = {...known.outstanding, [serviceClass]: Math.max(0, known.outstanding[serviceClass] + change)};
	return new Map(state).set(worker, {...known, outstanding});
}
