import type {Milliseconds, RandomSource} from '#core';
import {startTask, type Cancel, type Clock} from '#kernel';
import {
	getValidLease, initialLeaseState, receiveLeaseMessage, type HeldLease, type LeaseEffect, type LeaseMessage, type LeaseState,
} from './lease.js';
import type {KeyValueStore} from './types.js';

/** A lease that a task keeps alive. */
export type LeaseHandle = Readonly<{
	/** The lease if it is certainly valid now; ask again before each use, since a pause may have outlasted it. */
	getValid(): HeldLease | undefined;
	/** The lease that was granted last, also when it may have lapsed; undefined once the store dropped it. */
	getLatest(): HeldLease | undefined;
	/** Calls the listener after each change of the lease identifier; undefined means that the store dropped the lease. */
	onChanged(listener: (lease: string | undefined) => void): Cancel;
	/** Gives the lease back; resolves when the store answered or the call timed out. */
	stop(): Promise<void>;
}>;

export type LeaseTaskOptions = Readonly<{store: KeyValueStore; clock: Clock; random: RandomSource; timeToLive: Milliseconds; maximumBackoff?: Milliseconds}>;

/**
Starts a task that grants and renews one lease of the store.

@example
```
const lease = startLeaseTask({store, clock, random, timeToLive: 15_000});
const held = lease.findValid();
```
*/
export function startLeaseTask({store, clock, random, timeToLive, maximumBackoff}: LeaseTaskOptions): LeaseHandle {
	let revoking: Promise<unknown> = Promise.resolve();
	const perform = async (effect: LeaseEffect, send: (message: LeaseMessage) => void) => {
		switch (effect.kind) {
			case 'grant': {
				send({kind: 'replied', reply: await store.grantLease(timeToLive), sentAt: effect.sentAt});
				break;
			}

			case 'renew': {
				send({kind: 'replied', reply: await store.renewLease(effect.lease), sentAt: effect.sentAt});
				break;
			}

			case 'revoke': {
				revoking = store.revokeLease(effect.lease);
				break;
			}

			case 'schedule': {
				clock.schedule(effect.delay, () => {
					send({kind: 'due'});
				});
			}
		}
	};

	const task = startTask<LeaseState, LeaseMessage, LeaseEffect>({
		name: 'lease',
		initialState: initialLeaseState,
		receive: (state, message, present) => receiveLeaseMessage(state, message, present, {timeToLive, random, ...(maximumBackoff === undefined ? {} : {maximumBackoff})}),
	}, {
		clock,
		perform(effect, send) {
			void perform(effect, send);
		},
	});
	task.send({kind: 'due'});
	return {
		getValid: () => getValidLease(task.read(), clock.monotonic()),
		getLatest: () => task.read().held,
		onChanged(listener) {
			let known = task.read().held?.lease;
			return task.subscribe(({held}) => {
				if (held?.lease !== known) {
					known = held?.lease;
					listener(known);
				}
			});
		},
		async stop() {
			task.send({kind: 'stop'});
			await revoking;
		},
	};
}
