import {assertNever, type ServiceClass, type WorkerId} from '#core';
import {reportSmoothingWeight} from './constants.js';
import type {ClassLoad, LoadMessage, LoadState} from './types.js';

export const noLoad: ClassLoad = {short: 0, long: 0};

/** Keeps what an entry knows of each worker's load: its own requests exactly, those of other entries from reports. */
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
			const present = state.get(message.worker);
			return present === undefined
				? state
				: new Map(state).set(message.worker, {...present, others: estimateOthers(present.others, message.load, present.outstanding)});
		}

		default: {
			return assertNever(message);
		}
	}
}

/**
Estimates what other entries have at a worker, from its report less the own requests at that moment.

Reports come every two seconds and requests last for milliseconds, so a single report says little about the next choices; taken as it stands, it sends all entries to the same workers until the next one. A smoothed report still shows lasting differences.
*/
export function estimateOthers(present: ClassLoad, reported: ClassLoad, own: ClassLoad): ClassLoad {
	const smooth = (serviceClass: ServiceClass) =>
		present[serviceClass] + (reportSmoothingWeight * (Math.max(0, reported[serviceClass] - own[serviceClass]) - present[serviceClass]));
	return {short: smooth('short'), long: smooth('long')};
}

/** A request that ends after its worker left and joined again was not counted. */
function addOutstanding(state: LoadState, {worker, serviceClass}: Readonly<{worker: WorkerId; serviceClass: ServiceClass}>, change: 1 | -1): LoadState {
	const present = state.get(worker);
	if (present === undefined) {
		return state;
	}

	const outstanding = {...present.outstanding, [serviceClass]: Math.max(0, present.outstanding[serviceClass] + change)};
	return new Map(state).set(worker, {...present, outstanding});
}
