import type {Milliseconds, RandomSource} from '#core';
import {startTask, type Cancel, type Clock} from '#kernel';
import {
	getValidLease, initialLeaseState, receiveLeaseMessage, type HeldLease, type LeaseEffect, type LeaseMessage, type LeaseState,
} from './lease.js';
import type {KeyValueStore} from './types.js';

/** Handle of a lease that a task renews. */
export type LeaseHandle = Readonly<{
	/** Returns the lease if it is certainly valid now. Call it before each use, since the lease may lapse while the process is paused. */
	getValid(): HeldLease | undefined;
	/** Returns the latest granted lease, even if it may have lapsed; undefined before the first grant, after `stop` and once the store has dropped it. */
	getLatest(): HeldLease | undefined;
	/** Calls the listener after each change of the lease identifier; undefined means that the store has dropped the lease. */
	onChanged(listener: (lease: string | undefined) => void): Cancel;
	/** Revokes the lease; resolves when the store has replied or the call has timed out. A lease whose grant is still in flight is revoked when the grant arrives, without waiting for it. */
	stop(): Promise<void>;
}>;

export type LeaseTaskOptions = Readonly<{store: KeyValueStore; clock: Clock; random: RandomSource; timeToLive: Milliseconds; maximumBackoff?: Milliseconds}>;

/**
Starts a task that requests a lease from the store and renews it.

@example
```
const lease = startLeaseTask({store, clock, random, timeToLive: 15_000});
const validLease = lease.getValid();
```
*/
export function startLeaseTask({store, clock, random, timeToLive, maximumBackoff}: LeaseTaskOptions): LeaseHandle {
	let revocation: Promise<unknown> = Promise.resolve();
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
				revocation = store.revokeLease(effect.lease);
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
		receive: (state, message, time) => receiveLeaseMessage(state, message, time, {timeToLive, random, ...(maximumBackoff === undefined ? {} : {maximumBackoff})}),
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
			let lastLease = task.read().held?.lease;
			return task.subscribe(({held}) => {
				if (held?.lease !== lastLease) {
					lastLease = held?.lease;
					listener(lastLease);
				}
			});
		},
		async stop() {
			task.send({kind: 'stop'});
			await revocation;
		},
	};
}
