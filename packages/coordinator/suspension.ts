/** Detects that the machine was suspended, during which its monotonic clock stood still. */
import type {MonotonicTime} from '#core';
import type {Clock} from '#kernel';

/** If the monotonic clock falls behind the wall clock by more than this, the machine was suspended. */
const suspensionThresholdMilliseconds = 500;

export type SuspensionGuard = Readonly<{
	/** Whether something that is valid until this time was confirmed after the last suspension. */
	isConfirmed(validUntil: MonotonicTime): boolean;
}>;

/** Creates a guard. It has to be called often, because each call compares the clocks with those of the previous call. */
export function createSuspensionGuard(clock: Clock): SuspensionGuard {
	let offset = clock.now() - clock.monotonic();
	/** Anything valid until this time or earlier was confirmed before the last suspension. */
	let unconfirmedUntil = -Infinity;
	return {
		isConfirmed(validUntil) {
			const currentOffset = clock.now() - clock.monotonic();
			if (currentOffset - offset > suspensionThresholdMilliseconds) {
				unconfirmedUntil = validUntil;
			}

			offset = currentOffset;
			return validUntil > unconfirmedUntil;
		},
	};
}
