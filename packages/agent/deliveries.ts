import {
	assertNever, type MonotonicTime, type RequestId, type Step,
} from '#core';
import type {Present} from '#kernel';
import {deliveryGraceMilliseconds, maximumUndelivered} from './constants.js';

/** Answers whose connection broke before they were sent, with the time of each. Entries ask for them with `request.find`. */
export type DeliveryState = Readonly<{undelivered: ReadonlyMap<RequestId, MonotonicTime>}>;

export type DeliveryMessage =
	| Readonly<{kind: 'undelivered'; requestId: RequestId}>
	| Readonly<{kind: 'delivered'; requestId: RequestId}>
	| Readonly<{kind: 'tick'}>;

export const initialDeliveryState: DeliveryState = {undelivered: new Map()};

/** Keeps the answers that a draining agent should still be asked for, each for a bounded time. */
export function receiveDeliveryMessage({undelivered}: DeliveryState, message: DeliveryMessage, {monotonic}: Present): Step<DeliveryState, never> {
	const next = new Map([...undelivered].filter(([, since]) => monotonic - since < deliveryGraceMilliseconds));
	switch (message.kind) {
		case 'undelivered': {
			if (next.size < maximumUndelivered) {
				next.set(message.requestId, monotonic);
			}

			break;
		}

		case 'delivered': {
			next.delete(message.requestId);
			break;
		}

		case 'tick': {
			break;
		}

		default: {
			return assertNever(message);
		}
	}

	return {state: {undelivered: next}, effects: []};
}
