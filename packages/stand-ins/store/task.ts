import {startTask, type Clock} from '#kernel';
import {initialStoreState, receiveStoreMessage} from './state.js';
import type {StoreEffect, StoreMessage, StoreTask} from './types.js';

/** Starts the task that owns the state of the stand-in key-value service. */
export function startStoreTask(clock: Clock): StoreTask {
	return startTask(
		{name: 'store', initialState: initialStoreState, receive: receiveStoreMessage},
		{
			clock,
			perform(effect, send) {
				perform(effect, send, clock);
			},
		},
	);
}

function perform(effect: StoreEffect, send: (message: StoreMessage) => void, clock: Clock): void {
	switch (effect.kind) {
		case 'respond': {
			if (effect.delay === 0) {
				effect.respond(effect.reply);
			} else {
				clock.schedule(effect.delay, () => {
					effect.respond(effect.reply);
				});
			}

			break;
		}

		case 'schedule-watch-expiry': {
			const expire = () => {
				send({kind: 'watch-expired', watcher: effect.watcher});
			};

			const cancel = clock.schedule(effect.delay, expire);
			effect.signal.addEventListener('abort', () => {
				cancel();
				expire();
			}, {once: true});
			break;
		}

		case 'schedule-lease-check': {
			clock.schedule(effect.delay, () => {
				send({kind: 'lease-due', lease: effect.lease});
			});
		}
	}
}
