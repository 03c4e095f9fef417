/** Detects that the machine was suspended, during which its monotonic clock stood still, or the process paused. */
import type {MonotonicTime} from '#core';
import type {Clock} from '#kernel';

/** If the monotonic clock falls behind the wall clock by more than this, the machine was suspended. */
const suspensionThresholdMilliseconds = 500;
/** If the guard was not called for longer than this, the process was paused; the scheduler calls it four times a second. */
const pauseThresholdMilliseconds = 1000;

export type SuspensionGuard = Readonly<{
	/** Whether something that is valid until this time was confirmed after the last suspension, and did not run out during a pause. */
	isConfirmed(validUntil: MonotonicTime): boolean;
}>;

/** Creates a guard. It has to be called often, because each call compares the clocks with those of the previous call. */
export function createSuspensionGuard(clock: Clock): SuspensionGuard {
	let checkedAt = clock.monotonic();
	let offset = clock.now() - checkedAt;
	/** Anything valid until this time or earlier was confirmed before the last suspension, or ran out during a pause. */
	let unconfirmedUntil = -Infinity;
	return {
		isConfirmed(validUntil) {
			const monotonic = clock.monotonic();
			const currentOffset = clock.now() - monotonic;
			const wasSuspended = currentOffset - offset > suspensionThresholdMilliseconds;
			const hasRunOutInPause = monotonic - checkedAt > pauseThresholdMilliseconds && monotonic > validUntil;
			if (wasSuspended || hasRunOutInPause) {
				unconfirmedUntil = validUntil;
			}

			offset = currentOffset;
			checkedAt = monotonic;
			return validUntil > unconfirmedUntil;
		},
	};
}
