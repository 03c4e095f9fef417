import {
	assertNever, type MonotonicTime, type RequestId, type Step,
} from '#core';
import type {CurrentTime} from '#kernel';
import {deliveryGraceMilliseconds, maximumUndelivered} from './constants.js';

/** Answers whose connection closed before they were sent, with the time of each. Entries query them with `request.find`. */
export type DeliveryState = Readonly<{undelivered: ReadonlyMap<RequestId, MonotonicTime>}>;

export type DeliveryMessage =
	| Readonly<{kind: 'undelivered'; requestId: RequestId}>
	| Readonly<{kind: 'delivered'; requestId: RequestId}>
	| Readonly<{kind: 'tick'}>;

export const initialDeliveryState: DeliveryState = {undelivered: new Map()};

/** Tracks the undelivered answers that entries may still query, each for a bounded time. A draining agent waits for them. */
export function receiveDeliveryMessage({undelivered}: DeliveryState, message: DeliveryMessage, {monotonic}: CurrentTime): Step<DeliveryState, never> {
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
